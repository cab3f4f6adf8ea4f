@fixture.small_relayed
Feature: Accepted settings are in force everywhere and never revert

  Scenario: Of changes based on the same revision exactly one is accepted
    When 8 operators each apply a text of their own from the same revision
    Then one is accepted and the others get the difference to its text
    And every entry shows the accepted text within 6 s

  Scenario: A resend after a lost answer gets the first result
    Given a change whose answer was lost
    When the leader is killed and the change is sent again
    Then it gets the first result
    When another change is accepted, all processes are killed and started
    Then every entry shows the accepted text within 30 s
    When the first change is sent again
    Then it gets the first result

  Scenario: An entry that restarts shows what was accepted
    Given a change is accepted
    When entry-2 is killed and started
    Then every entry shows the accepted text within 10 s

  Scenario: A follower rejoins after a long partition
    Given a follower whose packets have been dropped for 12 s
    When a change is accepted
    Then the follower serves nothing
    When the network heals
    Then the leader and its term stay for 5 s
    And no process shows an older revision

  Scenario: A partitioned leader serves nothing once another is elected
    Given the leader's packets have been dropped for 6 s
    When a change is accepted
    Then the partitioned leader serves nothing
    When the network heals
    Then every entry shows the accepted text within 10 s
    And no process shows an older revision
