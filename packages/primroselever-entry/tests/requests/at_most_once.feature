Feature: A non-idempotent call runs at most once
  A call that costs money is charged once, however often and through whichever entry
  it is sent again.

  Background:
    Given a caller with a ticket for its call

  Scenario: Sending the same ticket again gives the same answer
    When the call is sent with the ticket
    And the call is sent with the ticket
    Then each attempt ends as "done" with the same answer
    And the service ran the call 1 time

  Scenario: The same ticket through two entries at once
    When the call is sent with the ticket through two entries at once
    Then each attempt ends as "done" with the same answer
    And the service ran the call 1 time

  Scenario: The entry dies and the caller retries through another entry
    Given the reply to the next start is lost
    When the call is sent with the ticket and its entry dies
    And the call is sent with the ticket
    Then the last attempt ends as "done"
    And the service ran the call 1 time

  Scenario: A start is delayed and arrives after it was sent again
    Given the next start is delayed
    When the call is sent with the ticket
    And the delayed start arrives
    Then the last attempt ends as "done"
    And the service ran the call 1 time

  Scenario: The agent cannot be reached
    Given the agent cannot be reached
    When the call is sent with the ticket
    Then the last attempt ends as "unknown" with reason "server_lost"
    And the service ran the call 0 times

  Scenario: The VM is replaced at the same address
    When the call is sent with the ticket
    And the VM is replaced
    And the call is sent with the ticket
    Then the last attempt ends as "unknown" with reason "ticket_gone"
    And the service ran the call 1 time

  Scenario: The service closes the connection after it ran the call
    Given the service closes the connection after it runs the call
    When the call is sent with the ticket
    And the call is sent with the ticket
    Then the last attempt ends as "unknown" with reason "engine_failed"
    And the service ran the call 1 time

  Scenario: The connection to the service cannot be opened
    Given the connection to the service cannot be opened
    When the call is sent with the ticket
    Then the last attempt ends as "not_run" with reason "engine_failed"
    And the service ran the call 0 times

  Scenario: The agent no longer keeps the answer
    When the call is sent with the ticket
    And the agent's memory for answers is full
    And the call is sent with the ticket
    Then the last attempt ends as "unknown" with reason "answer_gone"
    And the service ran the call 1 time

  Scenario: The epoch of the ticket is closed
    When the agent closes its open epochs
    And the call is sent with the ticket
    Then the last attempt ends as "unknown" with reason "start_expired"
    And the service ran the call 0 times

  Scenario Outline: The ticket was not issued for the call
    When a call with <what> is sent
    Then the last attempt ends as "not_run" with reason "<reason>"
    And the service ran the call 0 times

    Examples:
      | what               | reason          |
      | another body       | ticket_invalid  |
      | another workspace  | ticket_invalid  |
      | an altered ticket  | ticket_invalid  |
      | no ticket          | ticket_required |

  Scenario: An idempotency key gets the same ticket again
    When a call with the key is sent twice without a ticket
    Then both calls get the same ticket

  Scenario: The issuer for a key cannot be reached
    Given the issuer for the key cannot be reached
    When a call with the key is sent twice without a ticket
    Then no other agent issues a ticket for the key
