@process
Feature: lagoonflowctl looks into a running fleet

  Scenario: Status and time line of all processes of the roster
    Given a fleet of 1 router and 1 agent
    When an operator runs status until 2 processes answer
    Then the program ends with status 0
    And it names router-1 and agent-1
    When an operator runs timeline
    Then the program ends with status 0
    And it names router-1 and agent-1
    And it names roster and agent_joined

  Scenario: A process that does not answer is named
    Given a fleet of 2 routers and 0 agents
    When an operator runs status until 2 processes answer
    And router 2 is killed
    And an operator runs status
    Then the program ends with status 6
    And it says "No answer from router-2"
