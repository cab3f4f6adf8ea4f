Feature: Control VMs whose disks are slow keep a leader

  Each sync of each disk takes longer than an election.

  Background:
    Given 3 control VMs that have accepted a change
    And each sync of their disks takes 400 to 800 ms

  Scenario: Changes are accepted, by the same leader
    # Guards against elections that no candidate can win: votes were written for
    # longer than a candidate waited for them.
    When 8 changes are sent, one after another
    Then each is accepted within 20 s
    And at most 2 leaders have been elected since

  Scenario: The leader is killed
    When the leader is killed
    And 2 changes are sent, one after another
    Then each is accepted within 20 s
    And at most 2 leaders have been elected since

  Scenario: All of them are killed and start again
    When all of them are killed and start again
    And 2 changes are sent, one after another
    Then each is accepted within 20 s
    And at most 2 leaders have been elected since
