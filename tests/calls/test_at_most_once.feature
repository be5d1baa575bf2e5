Feature: Calls that must not run twice run at most once

  @process @guarantee_09 @guarantee_10
  Scenario Outline: A process fails while bookings run
    Given a fleet of 2 routers and 2 agents
    And bookings are served
    And bookings take 200 ms at plain service 1
    When 40 bookings are sent <with> idempotency keys
    And <part> is <fault>
    And 2 s pass
    And <part> is <recovery>
    Then every booking has an answer within 40 s
    And no booking ran twice and each answer is correct
    And at least 10 bookings were confirmed
    When the bookings <with> idempotency keys are repeated at router 2
    Then no booking ran twice and each answer is correct

    Examples:
      | with    | part    | fault         | recovery  |
      | without | agent 1 | killed        | restarted |
      | without | agent 1 | frozen        | woken     |
      | with    | agent 1 | killed        | restarted |
      | with    | agent 1 | frozen        | woken     |
      | without | agent 1 | asked to stop | restarted |
      | with    | agent 1 | asked to stop | restarted |
      | with    | router 1 | killed       | restarted |
      | with    | router 1 | frozen       | woken     |
      | without | router 1 | frozen       | woken     |

  @process @guarantee_09 @guarantee_10
  Scenario Outline: Connections to the plain service fail while bookings run
    Given a fleet of 2 routers and 0 agents
    And 2 engines
    And a relay in front of plain service 1
    And 2 agents join
    And bookings are served
    And bookings take 200 ms at plain service 1
    When 40 bookings are sent <with> idempotency keys
    And the connections to plain service 1 <fault>
    And 1 s pass
    And the connections to plain service 1 work again
    Then every booking has an answer within 45 s
    And no booking ran twice and each answer is correct
    When the bookings <with> idempotency keys are repeated at router 2
    Then no booking ran twice and each answer is correct

    Examples:
      | with    | fault     |
      | without | go silent |
      | without | are cut   |
      | without | all fail  |
      | with    | go silent |
      | with    | all fail  |

  @process @guarantee_09 @guarantee_10
  Scenario Outline: The log service fails while bookings are claimed
    Given a fleet of 2 routers and 2 agents
    And bookings are served
    When 40 bookings are sent with idempotency keys
    And the log service is <fault>
    And 4 s pass
    And the log service is up
    Then every booking has an answer within 30 s
    And no booking ran twice and each answer is correct
    When the bookings with idempotency keys are repeated at router 2
    Then no booking ran twice and each answer is correct
    And at least 10 bookings were confirmed

    Examples:
      | fault  |
      | down   |
      | silent |

  @process @guarantee_08
  Scenario Outline: The stream from an engine breaks
    Given a fleet of 1 router and 0 agents
    And 1 engine
    And a relay in front of engine 1
    And 1 agent joins
    And generations are served
    When a generation of 300 tokens has begun at router 1
    And <fault>
    Then the answer is complete, with no gap above <gap_ms> ms

    Examples:
      | fault                                | gap_ms |
      | the connections to engine 1 go silent | 4000  |
      | the connections to engine 1 are cut  | 1500   |
