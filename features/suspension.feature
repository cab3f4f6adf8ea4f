Feature: Permissions run out while a VM is suspended

  Scenario: The clock runs on while a VM is suspended
    Given a clock of this VM
    When the VM is suspended for 5000 ms
    Then 5000 ms have passed on the clock

  Scenario Outline: The time of day is set <direction>
    Given a clock of this VM
    When the time of day is set <direction> by an hour
    Then less than 1000 ms have passed on the clock

    Examples:
      | direction |
      | forward   |
      | back      |

  Scenario: The time of day jumps while requests are served
    Given an entry with routes for lookups and bookings
    And 2 targets
    When the time of day jumps by an hour, forward and back, between 40 lookups
    Then each lookup was answered completely within 2000 ms

  Scenario: An entry that was suspended does not use its lease
    Given an entry that has just renewed its lease
    When the VM is suspended for 5000 ms
    Then the entry can't confirm its settings
