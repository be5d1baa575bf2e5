@process
Feature: Leaving hosts and planned stops interrupt no request

  Background:
    Given a fleet of 2 routers and 3 agents
    And the organisation water at 20000 tokens/s with a burst of 200000

  @guarantee_11 @guarantee_12
  Scenario: A leaving host gets no new work and finishes its running work
    Given an answer of 600 tokens of news runs for water at router 1
    When the host of the agent that runs news is listed as leaving
    And 4 s pass
    And callers of water ask router 1, router 2 for news all the time
    And 4 s pass
    Then every running answer is complete
    And every probe is answered whole
    And the leaving agent has started no more work

  @guarantee_12 @guarantee_03
  Scenario: An agent is stopped under load
    Given an answer of 600 tokens of news runs for water at router 1
    When callers of water ask router 1, router 2 for news all the time
    And 1 s pass
    And the agent that runs news is stopped
    And 6 s pass
    Then every running answer is complete
    And every probe is answered whole
    And the stopped process has ended with status 0

  @guarantee_12 @guarantee_03
  Scenario: A router is stopped under load
    Given an answer of 600 tokens of news runs for water at router 1
    When callers of water ask router 1, router 2 for news all the time
    And 1 s pass
    And router 1 is stopped
    And 6 s pass
    Then every running answer is complete
    And every probe is answered whole or its connection is refused
    And the stopped process has ended with status 0

  @guarantee_12 @guarantee_08
  Scenario: All processes are restarted one after another under load
    When callers of water ask router 1, router 2 for news all the time
    And each agent and router is stopped and started again
    Then every probe is answered whole or its connection is refused
