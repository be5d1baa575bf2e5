@guarantee_05 @process
Feature: No backend server sees a caller's key

  Scenario Outline: A key that is passed in a <place> does not leave the routers
    Given a fleet of 2 routers and 1 agent
    And the organisations water and dossiers at 2000 tokens/s with a burst of 20000
    When a caller of water passes its key in <place> to
      | router   | method | path                   | status |
      | router 1 | POST   | /v1/completions        | 200    |
      | router 2 | POST   | /v1/chat/completions   | 200    |
      | router 1 | GET    | /v1/models             | 200    |
      | router 2 | POST   | /bookings/ceremony-1   | 200    |
      | router 1 | GET    | /lookups/ceremony-1    | 200    |
      | router 1 | POST   | /nowhere               | 404    |
    And an operator withdraws the key of water
    Then within 8 s the release notes are in force everywhere
    When a caller of water passes its key in <place> to
      | router   | method | path                   | status |
      | router 1 | POST   | /v1/completions        | 401    |
      | router 2 | POST   | /bookings/ceremony-2   | 401    |
      | router 2 | GET    | /lookups/ceremony-2    | 200    |
    Then the key of water is in no header and no query that a stand-in received
    And the key of water is in no output, time line, status, metric or record
    And the key of water is not in the memory of agent 1

    Examples:
      | place                         |
      | authorization                 |
      | x-api-key                     |
      | ?api_key                      |
      | authorization, x-note, ?token |

  Scenario: A key in an unusual place of an open call is not passed on
    Given a fleet of 2 routers and 1 agent
    And the organisations water and dossiers at 2000 tokens/s with a burst of 20000
    When a caller of water passes its key in x-note, ?token to
      | router   | method | path                   | status |
      | router 1 | GET    | /lookups/ceremony-1    | 200    |
      | router 2 | POST   | /bookings/ceremony-1   | 401    |
      | router 2 | POST   | /v1/completions        | 401    |
    Then the key of water is in no header and no query that a stand-in received
    And the key of water is in no output, time line, status, metric or record
    And the key of water is not in the memory of agent 1
