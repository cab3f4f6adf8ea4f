Feature: A planned stop of a control VM interrupts no request

  @fixture.small
  Scenario: Each control VM is restarted, the leader first, under load
    Given 6 callers that send lookups and bookings through all entries
    When each control VM is stopped and started, the leader first
    Then each stop ended with status 0 within 10 s
    And every call was answered
    And each booking ran once
