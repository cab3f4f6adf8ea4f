Feature: The load and experiment tool

  Scenario Outline: Plans are checked, and errors name a remedy
    When the plan "<file>" is checked
    Then it prints "<words>" and ends with status <status>

    Examples:
      | file                               | words                    | status |
      | examples/experiments/take-out.json | is well-formed           | 0      |
      | examples/experiments/surge.json    | is well-formed           | 0      |
      | examples/wrong/late-change.json    | raise seconds            | 1      |
      | examples/wrong/two-changes.json    | a change does one thing  | 1      |

  @fixture.small
  Scenario: A data centre is taken out and brought back, and an entry is killed
    Given a plan that takes vannes out at 2 s and brings it back at 4 s of 6 s
    When the plan is run while an entry is killed
    Then it ends with status 0 and wrote its figures
    And its count of answered calls matches what the backend servers ran
    And both changes were in force within 6 s
    When its figures are compared with themselves
    Then it prints "p99_ms" and ends with status 0
    When its figures are compared with those of another plan
    Then it prints "the runs are of two plans" and ends with status 1
