Feature: Roll-outs of a service's version

  Scenario Outline: A good version completes by its deadline
    When good roll-outs at <rate> requests a second are played <plays> times
    Then fewer than 1 in 200 of them were rolled back
    And all others were completed by their deadline

    Examples:
      | rate | plays |
      | 1    | 100   |
      | 39   | 200   |
      | 200  | 60    |

  Scenario Outline: A bad version gets few requests
    When roll-outs of a <badness> version at <rate> a second are played 10 times
    Then each was rolled back with at most <share> of the allowed requests

    Examples:
      | badness            | rate | share |
      | failing            | 39   | 0.8   |
      | failing            | 155  | 0.5   |
      | late failing       | 155  | 0.5   |
      | under load failing | 155  | 0.5   |
      | one route failing  | 155  | 0.5   |
      | slow               | 155  | 0.8   |
      | late slow          | 155  | 0.8   |
      | one route slow     | 200  | 0.9   |
      | failing            | 5    | 1.0   |

  Scenario: An order survives and is never refused again
    Given a service with targets of version v1
    When a roll-out to v2 is ordered
    Then the same order is accepted again
    And an order of v3 is a conflict
    When the state is saved and loaded
    Then the same order is accepted again
    When an earlier leader moves it from another step
    Then it is a conflict and nothing moves
    When it is rolled back
    Then the same order is accepted again, without effect
    When 20000 ms go by on the log's clock
    And a roll-out to v2 is ordered
    Then it runs again
    When it completes
    Then the targets of v1 are gone, and stay so after a late heartbeat
    And the same order is accepted again
    And it can't be withdrawn

  Scenario: No step forward without the answer of every entry
    Given a service with targets of version v1
    When a roll-out to v2 is ordered
    And one of two entries reports all the time
    Then it is rolled back at its deadline, and never left its trial

  Scenario: A new leader counts what entries report of the time before
    Given a service with targets of version v1
    When a roll-out to v2 is ordered
    And both entries report good answers up to the last step
    And a new leader hears of one that still runs 2 at v1
    Then it does not complete
    When that one reports none
    Then it completes

  Scenario: An entry sends each version its share
    Given an entry with targets of v1 and v2
    Then its requests go to both versions
    When a roll-out to v2 with 10% is in force
    Then 10% of the requests are drawn for some targets of v2
    And all others may go to targets of v1 only
    When the entry is out of touch with control
    Then no request may go to v2
    When the entry is in touch, and 30 answers of v2 failed
    Then it has stopped, and tells so in its datagrams and polls
    And no request may go to v2
    When an older row of the roll-out arrives
    Then no request may go to v2
    When the roll-out reaches its final step
    Then no request may go to v1, in touch or not
    When it is withdrawn
    Then no request may go to v2
    When targets of v1 move to another service by reuse of their addresses
    Then those of the other service are served

  Scenario: Operators order, show and withdraw roll-outs
    Given a service with targets of version v1
    And a control group that knows a route to it
    Then a wrong order of an operator is refused with a remedy
    When an operator orders a roll-out to v2
    Then it is shown as in trial, and another one is refused
    When the operator withdraws it
    Then it is shown as rolled_back

  Scenario: A roll-out beside a release, an evacuation and a split
    Given an entry with targets of v1 and v2
    When a roll-out to v2 with 10% is in force
    And a target of v1 is replaced by one of v3
    Then requests that aren't drawn may go to v1 and v3 only
    When a target in trial is taken out of service
    Then no target that is taken out is in trial
    And targets of another part of the split get requests as before

  Scenario: A broken link of one entry is no stop for everybody
    Given an entry with targets of v1 and v2
    When a roll-out to v2 with 10% is in force
    And it has 58 good answers of v1 and 2 good ones of v2
    And the roll-out moves to all requests
    And it has 0 good answers of v1 and 100 bad ones of v2
    Then it has not stopped
    When the roll-out moves to its ramp
    And it has 58 good answers of v1 and 30 bad ones of v2
    Then it has stopped

  Scenario: Trouble of both versions after a change of the share is no stop
    Given an entry with targets of v1 and v2
    When a roll-out to v2 with 10% is in force
    And it has 580 good answers of v1 and 20 good ones of v2
    And the roll-out moves to its ramp
    And it has 20 bad answers of v1 and 20 bad ones of v2
    Then it has not stopped

  Scenario: A new leader compares no answers of different shares
    Given a service with targets of version v1
    When a roll-out to v2 is ordered
    And the entries report 970 answers of v1, 0 bad, and 30 of v2, 0 bad
    And its leader moves it to its ramp
    And the entries report 150 answers of v1, 30 bad, and 150 of v2, 30 bad
    Then nothing speaks against v2
    When a new leader hears of all this
    Then nothing speaks against v2
    And it knows of 360 requests to v2, and of 520 requests a second
    When the entries report 50 answers of v1, 0 bad, and 50 of v2, 25 bad
    Then v2 is bad
    When a new leader hears of all this, and that an entry has stopped
    Then v2 is bad

  Scenario: A version that was rolled back stays barred from its service
    Given an entry with targets of v1 and v2
    When a roll-out to v2 with 10% is in force
    And it is withdrawn
    And a roll-out to v3 is ordered and in its trial
    Then all others may go to targets of v1 only
    And no target of v2 is current
    And there are slots of v1 only
    When the roll-out reaches its completed step
    And servers of v1 and v2 start again
    Then no request may go to v2
    When 20 more versions are rolled back
    Then 16 versions are barred, but not v4
    When a roll-out to v20 is ordered and in its trial
    Then 16 versions are barred, but not v20

  Scenario: A late row of an older order moves nothing
    Given an entry with targets of v1 and v2
    When a roll-out to v2 with 10% is in force
    And a row of an older order arrives that has made more steps
    Then 10% of the requests are drawn for some targets of v2
    And all others may go to targets of v1 only

  Scenario: The new version serves once the earlier servers are lost
    Given a service with targets of version v1
    When a roll-out to v2 is ordered
    And servers of v2 begin their cold start
    Then it stays in its trial for 1000 ms
    When the servers of v1 are lost, and one of two entries reports
    Then it stays in its trial for 300 ms
    When both entries report
    Then it moves to all requests at once
    But it stays in its trial if something speaks against v2
