Feature: Routers and agents run as processes beside the stand-ins

  @process
  Scenario: A fleet starts, replaces a killed agent and ends
    Given a fleet of 2 routers and 3 agents
    Then within 8 s router 1 answers 200 on /ready
    And within 8 s router 2 answers 200 on /ready
    And within 8 s agent 3 answers 200 on /ready
    When agent 2 is killed
    And agent 2 is restarted
    Then within 8 s agent 2 answers 200 on /ready
    And all processes end within 8 s of SIGTERM

  @process
  Scenario: A router without a known key refuses and no credential arrives
    Given a fleet of 1 router and 1 agent
    Then within 8 s router 1 answers 200 on /ready
    When a caller with the key wrong-key asks router 1 for a completion
    Then the caller is refused with KEY_UNKNOWN and nothing has run
    And engine 1 has seen no credentials
    And engine 1 counts 0 of executions
    And the log service has seen no credentials
