@process
Feature: Cold models are loaded as their home decides, without overcommitting memory

  @guarantee_01 @guarantee_08
  Scenario: A burst of calls to all routers for one cold model causes one load
    Given a fleet of 2 routers and 3 agents
    And the organisation water at 20000 tokens/s with a burst of 200000
    When 12 callers of water ask router 1, router 2 for news at once
    Then every running answer is complete
    And the engines have loaded news once

  @guarantee_02 @guarantee_03
  Scenario: Models that do not fit into memory together are loaded in turn
    Given engines of 5000 MB
    And a fleet of 1 router and 1 agent
    And the organisation water at 20000 tokens/s with a burst of 200000
    When 2 callers of water ask router 1 for news at once
    And 2 callers of water ask router 1 for letters at once
    And 2 callers of water ask router 1 for rare at once
    Then every running answer is complete
    And no engine was asked for more memory than it has

  @guarantee_01 @guarantee_02 @guarantee_03
  Scenario: An agent dies during a load
    Given a fleet of 2 routers and 3 agents
    And the organisation water at 20000 tokens/s with a burst of 200000
    And the weight store has the fault slowdown set to 10
    When 4 callers of water ask router 1, router 2 for rare at once
    And the agent that loads rare is killed
    Then every running caller is answered or refused within 32 s
    And the engines have loaded rare at most 2 times
    And no engine was asked for more memory than it has

  @guarantee_01 @guarantee_08
  Scenario: The home of a model is frozen while another agent acts as home
    Given a fleet of 2 routers and 3 agents
    And the organisation water at 20000 tokens/s with a burst of 200000
    When the agent that is home of news is frozen
    And 6 callers of water ask router 1, router 2 for news at once
    Then every running answer is complete
    When the frozen agent resumes
    And 6 callers of water ask router 1, router 2 for news at once
    Then every running answer is complete
    And the engines have loaded news at most 2 times
    And no engine was asked for more memory than it has

  @guarantee_01 @guarantee_02 @guarantee_08
  Scenario: The log service is down throughout
    Given a fleet of 2 routers and 3 agents
    And the organisation water at 20000 tokens/s with a burst of 200000
    When the log service is down
    And 6 callers of water ask router 1, router 2 for news at once
    And 6 callers of water ask router 1, router 2 for letters at once
    Then every running answer is complete
    And the engines have loaded news once
    And no engine was asked for more memory than it has
