Feature: A call that must run once
  A renewal or an ink order is charged once, whoever sends it again.

  Background:
    Given a caller with a ticket for its call

  Scenario: The same ticket again gives the same answer
    When the call is sent with the ticket
    And the call is sent with the ticket
    Then each sending is told "done" with the same answer
    And the service ran the call 1 time

  Scenario: The same ticket through two entries at once
    When the call is sent with the ticket through two entries at once
    Then each sending is told "done" with the same answer
    And the service ran the call 1 time

  Scenario: The entry dies and the caller comes back through another one
    Given the reply to the next start is lost
    When the call is sent with the ticket and its entry dies
    And the call is sent with the ticket
    Then the last sending is told "done"
    And the service ran the call 1 time

  Scenario: A start is lost on the way and arrives later
    Given the next start is delayed
    When the call is sent with the ticket
    And the delayed start arrives
    Then the last sending is told "done"
    And the service ran the call 1 time

  Scenario: The agent cannot be reached
    Given the agent cannot be reached
    When the call is sent with the ticket
    Then the last sending is told "unknown" for "server_lost"
    And the service ran the call 0 times

  Scenario: The VM is replaced at the same address
    When the call is sent with the ticket
    And the VM is replaced
    And the call is sent with the ticket
    Then the last sending is told "unknown" for "ticket_gone"
    And the service ran the call 1 time

  Scenario: The service breaks the connection after it acted
    Given the service breaks the connection after it acts
    When the call is sent with the ticket
    And the call is sent with the ticket
    Then the last sending is told "unknown" for "engine_failed"
    And the service ran the call 1 time

  Scenario: The service was never connected
    Given the service cannot be connected
    When the call is sent with the ticket
    Then the last sending is told "not_run" for "engine_failed"
    And the service ran the call 0 times

  Scenario: The answer is no longer kept
    When the call is sent with the ticket
    And the agent's memory for answers is full
    And the call is sent with the ticket
    Then the last sending is told "unknown" for "answer_gone"
    And the service ran the call 1 time

  Scenario: The ticket is older than the low-water mark
    When the agent closes its epochs
    And the call is sent with the ticket
    Then the last sending is told "unknown" for "start_expired"
    And the service ran the call 0 times

  Scenario Outline: The ticket is not this call's
    When a call with <what> is sent
    Then the last sending is told "not_run" for "<reason>"
    And the service ran the call 0 times

    Examples:
      | what               | reason          |
      | another body       | ticket_invalid  |
      | another workspace  | ticket_invalid  |
      | an altered ticket  | ticket_invalid  |
      | no ticket          | ticket_required |

  Scenario: An idempotency key gets its ticket back
    When the key is sent without a ticket twice
    Then both get the same ticket

  Scenario: The home of a key cannot be reached
    Given the home of the key cannot be reached
    When the key is sent without a ticket twice
    Then nobody else issues a ticket for the key
