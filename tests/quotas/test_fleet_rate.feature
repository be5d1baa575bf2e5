@guarantee_07 @process
Feature: No organisation exceeds its rate and burst across all routers

  Background:
    Given a fleet of 3 routers and 2 agents
    And the organisations loud, calm and still at 200 tokens/s with a burst of 1200
    And 7 s pass

  Scenario: One organisation sends five times its rate, others stay below theirs
    When 6 callers of loud ask each of router 1, router 2, router 3 all the time
    And callers of calm, still ask router 1, router 2, router 3 every 0.8 s
    And 12 s pass
    Then loud was admitted no more than its rate and burst allow in any window
    And loud was refused with RATE_EXCEEDED
    And calm, still received a complete answer to every request

  Scenario: A router is killed while it borrows
    When 10 callers of loud ask each of router 1, router 2 all the time
    And callers of calm, still ask router 1, router 2 every 0.8 s
    And 4 s pass
    And router 3 is killed
    And 2 s pass
    And router 2 is killed
    And router 2 is restarted
    And router 3 is restarted
    And 8 s pass
    Then loud was admitted no more than its rate and burst allow in any window
    And loud was refused with RATE_EXCEEDED

  Scenario: A frozen router resumes after its removal from the roster
    When 6 callers of loud ask each of router 1, router 2, router 3 all the time
    And 5 s pass
    And router 3 is frozen
    And router 3 is unlisted
    And 15 s pass
    And router 3 is woken
    And 5 s pass
    Then loud was admitted no more than its rate and burst allow in any window
    And loud was refused with RATE_EXCEEDED
