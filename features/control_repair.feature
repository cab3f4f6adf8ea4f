Feature: Control VMs that lose disks or connections and recover

  @fixture.small
  Scenario: A second control VM is lost right after the first was repaired
    Given control VM control-1 is killed and its data folder wiped
    When control VM control-1 starts again
    Then control-1 votes under a new id within 15 s
    When control VM control-2 is killed
    Then a change of the settings is accepted within 10 s
    And every entry has it in force within 6 s

  @fixture.small
  Scenario: Running init again does not restore the vote of a lost disk
    Given control VM control-1 is killed and its data folder wiped
    And control VM control-3 is killed
    When init is run again for control-1
    And control VM control-1 starts again
    Then no change of the settings is accepted for 4 s
    When control VM control-3 starts again
    Then control-1 votes under a new id within 15 s
    And a change of the settings is accepted within 10 s

  @fixture.small
  Scenario Outline: A control VM that can't write to its disk exits and reports why
    Given the <role> can't write more data to its disk
    When a large change of the settings is sent to another control VM
    Then it exits with status 1 and reports the disk
    And a change of the settings is accepted within 10 s
    And every entry has it in force within 6 s

    Examples:
      | role     |
      | leader   |
      | follower |

  # Guards against a group that takes no changes any more after the disk of each
  # of its VMs was full for a while.
  @fixture.small
  Scenario: The disks of all control VMs are full, one after another
    When each control VM exits for its full disk in turn, and starts while it is still full
    Then a change of the settings is accepted within 10 s
    And every entry has it in force within 6 s
    And every control VM runs and follows a leader

  @fixture.small
  Scenario: Operators change the control group
    When an operator removes control-4 and adds it
    Then control-4 is expected
    Given control VM control-3 is killed
    When an operator removes control-2
    Then that is refused since control-3 does not answer
    When an operator removes control-3
    Then the group has the voters control-1 control-2
    Given control VM control-3 is killed and its data folder wiped
    When control VM control-3 starts again
    Then it says that control-3 is not expected within 10 s
    When an operator adds control-3
    Then control-3 votes under a new id within 15 s

  @fixture.small_relayed
  Scenario: All connections of the leader become unresponsive
    Given the leader and its term are recorded
    When all connections between control VMs and from entries become unresponsive
    Then no lease runs out for 5 s
    And the leader and its term have not changed
