Feature: Disks of control VMs are full, one after another

  An operator sends one change after the other meanwhile. Every change that is
  sent with room on all disks is acknowledged within 4 s, and none that was
  acknowledged is lost, also by a restart of all. `-D seed=N` draws another play.

  Scenario Outline: <count> VMs, <moment>, of seed <seed>
    When the disks of <count> control VMs are full in turn, <moment>, with seed <seed>
    Then all changes were acknowledged in time, and none is lost

    Examples:
      | count | moment                     | seed |
      | 3     | while they run             | 11   |
      | 3     | before the group has formed | 201 |
      | 5     | while they run             | 102  |
