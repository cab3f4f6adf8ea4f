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

  Scenario Outline: An entry does not ask anew who has just not answered
    Given an entry of brest that knows control VMs of brest, vannes and rennes
    When those of brest and <silent> stop answering
    Then it has asked the one of <left> after at most 2 that do not answer

    Examples:
      | silent | left   |
      | vannes | rennes |
      | rennes | vannes |

  Scenario: A control VM that knows no group yet sends entries on at once
    Given a control VM that knows no group yet, and two that have rows
    And answers that an entry without rows may wait 5000 ms for
    When an entry begins that asks the first of them
    Then it has rows within 2000 ms

  Scenario: An entry behind a slow link gets the rows of many backend servers
    Given a control VM that has rows of 1500 backend servers
    And a link to it that carries 100000 bytes a second
    When an entry begins that asks the first of them
    Then it has the rows of 1500 backend servers within 3000 ms
