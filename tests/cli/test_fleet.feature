@process
Feature: lagoonflowctl inspects a running fleet

  Scenario: Status and time line show all processes of the roster
    Given a fleet of 1 router and 1 agent
    When an operator runs status until 2 processes answer
    Then the program ends with status 0
    And its output contains router-1 and agent-1
    When an operator runs timeline
    Then the program ends with status 0
    And its output contains router-1 and agent-1
    And its output contains roster and agent_joined

  Scenario: A process that does not answer is reported
    Given a fleet of 2 routers and 0 agents
    When an operator runs status until 2 processes answer
    And router 2 is killed
    And an operator runs status
    Then the program ends with status 6
    And its error output contains "No answer from router-2"
