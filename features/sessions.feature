Feature: An entry goes on following the control group

  Scenario Outline: A cancellation or an error that nobody expects ends nothing
    Given an entry that <keeps> without a session, and control VMs that refuse
    When its first attempt to join ends with <error>
    Then it still asks control VMs

    Examples:
      | keeps             | error          |
      | keeps its rows    | CancelledError |
      | drops its rows    | CancelledError |
      | keeps its rows    | RuntimeError   |
      | drops its rows    | RuntimeError   |

  Scenario: An entry ends where it is told to
    Given an entry that keeps its rows without a session, and control VMs that refuse
    When its task group is cancelled
    Then it asks nobody any more

  Scenario: Entries that know nothing yet spread over the control VMs
    When 60 entries begin
    Then they ask each of 3 control VMs first at least 8 times
