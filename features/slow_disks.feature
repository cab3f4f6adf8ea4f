Feature: Control VMs whose disks are slow keep a leader

  Each sync of each disk takes longer than an election.

  Scenario: Changes are accepted, by the same leader
    # Guards against elections that no candidate can win: votes were written for
    # longer than a candidate waited for them.
    Given 3 control VMs that have accepted a change
    And each sync of their disks takes 400 to 800 ms
    When 8 changes are sent, one after another
    Then each is accepted within 20 s
    And at most 2 leaders have been elected since

  Scenario: The leader is killed
    Given 3 control VMs that have accepted a change
    And each sync of their disks takes 400 to 800 ms
    When the leader is killed
    And 2 changes are sent, one after another
    Then each is accepted within 20 s
    And at most 2 leaders have been elected since

  Scenario: All of them are killed and start again
    Given 3 control VMs that have accepted a change
    And each sync of their disks takes 400 to 800 ms
    When all of them are killed and start again
    And 2 changes are sent, one after another
    Then each is accepted within 20 s
    And at most 2 leaders have been elected since

  Scenario: No VM of four is taken for dead
    # Guards against the removal of a voter that answers late since it writes.
    Given 4 control VMs that have accepted a change
    And the fourth one votes
    And each sync of their disks takes 700 to 900 ms
    When 6 changes are sent, one after another
    Then each is accepted within 20 s
    And no member has been removed

  @fixture.small_slow_disks
  Scenario: Changes are accepted while entries commit as well
    # Guards against changes that stay unanswered under a live leader: each
    # repeated one was a commit more, and the leader did little but sync.
    Given each sync of the deployment's disks takes 700 to 1200 ms
    When an operator takes a data centre out and brings it back, 3 times
    Then each of these calls was answered within 20 s
