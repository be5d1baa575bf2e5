@process @guarantee_13
Feature: A release note is published once despite faults of the log service

  Scenario: Answers of the log service are lost
    Given the platform
    And the log service has the fault lose_append_answers set to 2
    When an operator publishes the model news at base 0
    Then the note is accepted
    And the log service counts 1 of heads/releases

  Scenario: The log service comes back while an operator publishes
    Given the platform
    And the log service is down
    When an operator begins to publish the model news at base 0
    And the log service is up after 2 s
    Then the note is accepted
    And the log service counts 1 of heads/releases

  Scenario: The log service stays unavailable
    Given the platform
    And the log service is down
    When an operator publishes the model news at base 0
    Then the program ends with status 5 and says "The note was not published"
    And the log service is up again
    And the log service counts 0 of records

  Scenario: Two operators change the same object
    Given the platform
    When operators publish the models news and news at base 0 at once
    Then one note is accepted and one is rejected because of "version 1 is in force"
    And the model news is in force at version 1

  Scenario: Two operators change different objects
    Given the platform
    When operators publish the models news and letters at base 0 at once
    Then both notes are accepted
    And the model news is in force at version 1
    And the model letters is in force at version 1

  Scenario: A note is published again after an operator's program died
    Given the platform
    And an operator has published the model news at base 0
    When an operator publishes the model news at base 0
    Then the program ends with status 0 and says "An earlier attempt"
    And the log service counts 1 of heads/releases

  Scenario: An invalid record precedes the note
    Given the platform
    And the stream of releases contains an invalid record
    When an operator publishes the model news at base 0
    Then the note is accepted

  Scenario: All records have expired, and a running process restores them
    Given a fleet of 1 router and 0 agents
    And an operator has published the model news at base 0
    And within 5 s router 1 has folded 1 records of releases
    When the log service has the fault expire_all set to true
    And an operator publishes the model news at base 1
    Then the note is accepted
    And the model news is in force at version 2

  Scenario: All records expire during a long outage
    Given a fleet of 2 routers and 0 agents
    And an operator has published the model news at base 0
    And within 5 s router 1 has folded 1 records of releases
    And within 5 s router 2 has folded 1 records of releases
    When the log service is down
    And the log service has the fault expire_all set to true
    And the log service is up after 1 s
    And an operator publishes the model news at base 1
    Then the note is accepted
    And the model news is in force at version 2
