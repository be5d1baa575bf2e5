Feature: Stand-ins run as processes whose faults are switched over HTTP

  @process
  Scenario: The platform and an engine start, fail on command and end
    Given the platform
    And 2 engines
    Then within 2 s the log service answers 200 on /streams/s/records
    And within 2 s the host list answers 200 on /hosts
    And within 2 s engine 1 answers 200 on /listing
    And within 2 s engine 2 answers 200 on /load
    And within 2 s plain service 2 answers 200 on /rosters
    And plain service 2 counts 1 of executions
    And plain service 1 counts 0 of executions
    And the weight store has seen no credentials
    When the log service is down
    Then within 2 s the log service answers 503 on /streams/s/records
    When the log service is up
    Then within 2 s the log service answers 200 on /streams/s/records
    When engine 1 is silent
    Then engine 1 does not answer on /listing
    And within 2 s engine 2 answers 200 on /listing
    When engine 1 has the fault silent set to false
    Then within 2 s engine 1 answers 200 on /listing
    And all processes end within 8 s of SIGTERM

  @process
  Scenario: A process can be frozen, woken and killed
    Given the platform
    When the host list is frozen
    Then the host list does not answer on /hosts
    When the host list is woken
    Then within 2 s the host list answers 200 on /hosts
    When the host list is killed
    Then within 2 s the host list has ended
    And the host list does not answer on /hosts

  @process
  Scenario: A relay loses open connections while new ones work
    Given the platform
    And a relay in front of the log service
    And an open read of the log service through the relay
    When the connections to the log service go silent
    And a record is appended to the log service through the relay
    Then the open read gets no answer within 1 s
    And a new read of the log service through the relay is answered
    When the connections to the log service all fail
    Then a new read of the log service through the relay fails
    When the connections to the log service work again
    Then a new read of the log service through the relay is answered
