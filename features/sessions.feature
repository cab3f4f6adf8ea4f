Feature: An entry goes on following the control group

  Scenario Outline: A cancellation that nobody meant for it ends nothing
    Given an entry that <keeps> without a session, and control VMs that refuse
    When its first attempt to join ends as if it were cancelled
    Then it still asks control VMs

    Examples:
      | keeps             |
      | keeps its rows    |
      | drops its rows    |

  Scenario: An entry ends where it is told to
    Given an entry that keeps its rows without a session, and control VMs that refuse
    When its task group is cancelled
    Then it asks nobody any more

  Scenario: Entries that know nothing yet spread over the control VMs
    When 60 entries begin
    Then they ask each of 3 control VMs first at least 8 times
