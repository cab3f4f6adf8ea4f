Feature: A planned stop of a control VM interrupts no request

  @fixture.small
  Scenario: Each control VM is restarted, the leader first, under load
    Given 6 callers that send lookups and bookings through all entries
    When each control VM is stopped and started, the leader first
    Then each stop ended with status 0 within 10 s
    And every call was answered
    And each booking ran once

  @fixture.platform
  Scenario Outline: <sent> was sent to <vm> when it is stopped
    When the operator sends configuration 1 on 0
    Given a target of dossier and one of keepsake
    When <sent> was sent to <vm> on each of 6 connections
    And that control VM is stopped, and after 50 ms the rest is sent
    Then each of them gets a complete answer
    And that control VM ended with status 0

    Examples:
      | sent                    | vm                        |
      | half a request line     | the leader                |
      | half a header           | the leader                |
      | the head of a heartbeat | the leader                |
      | half a heartbeat        | the leader                |
      | a heartbeat             | the leader                |
      | half a heartbeat        | a control VM that follows |
      | a heartbeat             | a control VM that follows |
      | a configuration         | the leader                |
      | a configuration         | a control VM that follows |
