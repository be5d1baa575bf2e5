@guarantee_06 @process
Feature: A withdrawn key stops working within seconds

  Background:
    Given a fleet of 2 routers and 2 agents
    And the organisations water and dossiers at 2000 tokens/s with a burst of 20000

  @guarantee_08
  Scenario: Running answers are completed, later requests refused everywhere
    Given an answer of 1600 tokens of news runs for water at router 1
    And an answer of 1600 tokens of letters runs for water at router 2
    When callers of water ask router 1, router 2 for news all the time
    And 1 s pass
    And an operator withdraws the key of water
    Then within 8 s the release notes are in force everywhere
    When 1 s pass
    Then router 1, router 2 admitted no water later than 8 s after the note
    And every running answer is complete

  Scenario: A request that waits for its model to load is refused
    Given the weight store has the fault delay_ms set to 8000
    When a caller of water asks router 1 for 4 tokens of rare
    And 1 s pass
    And an operator withdraws the key of water
    Then the waiting caller is refused with KEY_WITHDRAWN

  @guarantee_04
  Scenario: A router with outdated releases cannot pass on a withdrawn key
    Given router 3 joins through a relay in front of the log service
    When the connections to the log service all go silent
    And router 3 is frozen
    And an operator withdraws the key of water
    And a caller of water asks router 3 for 4 tokens of news
    Then within 8 s the release notes are in force everywhere but at router 3
    When router 3 is woken
    Then the waiting caller is refused with KEY_WITHDRAWN
    And within 8 s the release notes are in force at router 3
