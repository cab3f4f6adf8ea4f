Feature: Announcements of backend servers are answered where they arrive

  Background:
    Given a control VM that does not lead, and a backend server that it knows

  Scenario: An announcement that says nothing new is answered without the leader
    When the backend server announces itself as before
    Then it is answered here
    And the leader is told of it with the next others

  Scenario Outline: An announcement of <news> is for the leader
    When the backend server announces <news>
    Then the leader is asked

    Examples:
      | news                   |
      | that it drains         |
      | another start          |
      | another number of slots |
      | a cold start           |

  Scenario: Where no leader is heard nothing is answered
    When no leader is heard for 1000 ms
    And the backend server announces itself as before
    Then the leader is asked

  Scenario: What the leader could not be told is told later, the newest of each
    When the backend server announces itself as before
    And the leader can't be told
    And the backend server announces itself as before
    Then the leader is told once, of the newest

  Scenario: Servers that are only heard elsewhere are not forgotten
    Given a control VM that leads and knows it too
    When 15000 ms pass, and the leader is told that it was heard
    And 15000 ms pass
    Then the leader has not forgotten it
    When 10000 ms pass
    Then the leader has forgotten it
