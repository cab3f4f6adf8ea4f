@fixture.small_relayed
Feature: Accepted settings are in force everywhere and never revert

  Scenario: Of operators with equal numbers exactly one wins
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

  Scenario: A control VM that was cut off for long returns
    Given a follower that has been cut off silently for 12 s
    When a change is accepted
    Then the follower serves nothing
    When the network heals
    Then the leader and its term stay for 5 s
    And no process shows an older revision

  Scenario: A leader that is cut off serves nothing once another leads
    Given the leader has been cut off silently for 6 s
    When a change is accepted
    Then the cut-off leader serves nothing
    When the network heals
    Then every entry shows the accepted text within 10 s
    And no process shows an older revision
