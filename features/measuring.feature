Feature: Announcements stay within the budget for measuring

  @fixture.many_targets
  Scenario: 36 targets stay within the budget of the settings text
    When all announcements of 12 s are counted
    Then they were at most 20 messages and 10000 bytes a second
    And each target is known and owned

  @fixture.many_targets
  Scenario: A smaller budget is kept once it is in force
    When the budget is set to 8 messages and 6000 bytes a second
    And 6 s have passed
    And all announcements of 12 s are counted
    Then they were at most 8 messages and 6000 bytes a second
    And each target is known and owned

  @fixture.small
  Scenario: A backend server that announces itself too often is rejected
    When a server of dossier announces itself 300 times in a row
    Then at least 200 were rejected with a time to wait
    And the metrics name "announcement-refused"
    And each target is known and owned

  Scenario Outline: Periodic announcements of all targets use half of the budget
    Given a budget of <messages> messages and <bytes> bytes a second
    When <targets> targets announce themselves with <size> bytes each
    Then the period of each target is <period> ms

    Examples:
      | messages | bytes | targets | size | period |
      | 20       | 10000 | 36      | 500  | 3600   |
      | 20       | 10000 | 36      | 1000 | 7200   |
      | 2        | 10000 | 36      | 100  | 36000  |
      | 20       | 10000 | 0       | 500  | 0      |

  Scenario Outline: Messages beyond the budget are not accepted
    Given a budget of <messages> messages and <bytes> bytes a second
    When messages of <size> bytes arrive every <gap> ms for <seconds> s
    Then at most <most> are accepted

    Examples:
      | messages | bytes | size | gap | seconds | most |
      | 20       | 10000 | 100  | 1   | 60      | 1300 |
      | 20       | 10000 | 1000 | 1   | 60      | 650  |
      | 2        | 1000  | 100  | 10  | 60      | 136  |
