@fixture.small_relayed
Feature: Entries receive the state from any control VM

  Scenario Outline: The control VM that an entry polls is <fault>
    Given 6 callers that send lookups and bookings through all entries
    When <which> that entries poll is <fault> for longer than a lease
    Then every entry has applied a change that was accepted during the fault
    And every lookup of the callers was answered
    When the faults of control VMs end

    Examples:
      | which      | fault                       |
      | a follower | killed                      |
      | a follower | frozen                      |
      | a follower | partitioned from the others |
      | the leader | frozen                      |
