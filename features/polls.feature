@fixture.small_relayed
Feature: Entries follow the state through any control VM

  Scenario Outline: The control VM that an entry follows is <fault>
    Given 6 callers that send lookups and bookings through all entries
    When <which> control VM that entries follow is <fault> for longer than a lease
    Then every entry shows a change that was accepted meanwhile
    And every lookup of the callers was answered
    When the faults of control VMs end

    Examples:
      | which       | fault                       |
      | a following | killed                      |
      | a following | frozen                      |
      | a following | cut off from the others     |
      | the leading | frozen                      |
