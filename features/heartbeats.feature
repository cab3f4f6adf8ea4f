Feature: Announcements of backend servers are acknowledged by followers too

  Background:
    Given a follower, and a backend server that it knows

  Scenario: An announcement without a change is acknowledged without the leader
    When the backend server announces itself as before
    Then the follower acknowledges it
    And the next report to the leader has this announcement

  Scenario Outline: An announcement of <change> is sent to the leader
    When the backend server announces <change>
    Then it is sent to the leader

    Examples:
      | change                 |
      | that it drains         |
      | another start          |
      | another number of slots |
      | a cold start           |

  Scenario: Without contact to a leader nothing is acknowledged
    When the follower has no contact to a leader for 1000 ms
    And the backend server announces itself as before
    Then it is sent to the leader

  Scenario: After a failed report the newest announcement is reported again
    When the backend server announces itself as before
    And a report to the leader fails
    And the backend server announces itself as before
    Then the next report to the leader has only the newest announcement

  Scenario: Servers that announce themselves only to followers are not removed
    Given a leader that knows it too
    When 15000 ms pass, and a report with it reaches the leader
    And 15000 ms pass
    Then the leader has not removed it
    When 10000 ms pass
    Then the leader has removed it
