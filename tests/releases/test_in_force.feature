@guarantee_13 @process
Feature: An accepted release note is soon in force everywhere and stays so

  Background:
    Given a fleet of 2 routers and 2 agents
    And the organisations water and dossiers at 2000 tokens/s with a burst of 20000

  Scenario Outline: Notes are in force within seconds while the log is <state>
    Given router 3 joins through a relay in front of the log service
    And the versions are watched
    When <change>
    And an operator publishes 6 notes
    Then every note was in force everywhere within 8 s
    And no version decreased

    Examples:
      | state           | change                                           |
      | up              | 0 s pass                                         |
      | slow            | the log service is slow by 1000 ms               |
      | cut for one     | the connections to the log service all go silent |

  Scenario: Two operators publish at the same time
    Given the versions are watched
    When two operators publish the models first and first at once
    Then one note is accepted and the other is rejected because of base 0
    When two operators publish the models second and third at once
    Then both notes are accepted
    And every note was in force everywhere within 8 s
    And router 1 lists the models first, second and third
    And router 2 lists the models first, second and third

  Scenario: A router is replaced while the log is down
    Given the versions are watched
    When the log service is down
    And 3 s pass
    And router 2 is killed
    And router 2 is restarted
    Then within 8 s router 2 answers 200 on /ready
    And router 2 lists the models news, letters and rare
    When callers of water ask router 2 for news all the time
    And 2 s pass
    And the log service is up
    And an operator publishes 2 notes
    Then every note was in force everywhere within 8 s
    And no version decreased
    And every request to router 2 received a complete answer

  Scenario: A router starts after all records of the log have expired
    Given the versions are watched
    When the log service has the fault expire_all set to true
    And router 3 joins
    Then within 8 s router 3 answers 200 on /ready
    And router 3 lists the models news, letters and rare
    When the versions are watched
    And an operator publishes 2 notes
    Then every note was in force everywhere within 8 s
    And no version decreased
