Feature: An entry keeps polling the control group

  Scenario Outline: An unexpected cancellation or error does not stop a session
    Given an entry that <keeps> without a session, and control VMs that refuse
    When its first attempt to join ends with <error>
    Then it still calls control VMs

    Examples:
      | keeps             | error          |
      | keeps its rows    | CancelledError |
      | drops its rows    | CancelledError |
      | keeps its rows    | RuntimeError   |
      | drops its rows    | RuntimeError   |

  Scenario: A cancelled session calls no control VM
    Given an entry that keeps its rows without a session, and control VMs that refuse
    When its task group is cancelled
    Then it calls no control VM any more

  Scenario: New entries spread over the control VMs
    When 60 entries start
    Then each of 3 control VMs is called first at least 8 times

  Scenario Outline: An entry does not call an unresponsive control VM again at once
    Given an entry of brest that knows control VMs of brest, vannes and rennes
    When those of brest and <other> stop answering
    Then it has polled the one of <remaining> after at most 2 unresponsive ones

    Examples:
      | other  | remaining |
      | vannes | rennes    |
      | rennes | vannes    |

  Scenario: A control VM without a group rejects entries at once
    Given a control VM that knows no group yet, and two that have rows
    And a timeout of 5000 ms for the first rows of an entry
    When an entry starts and polls the first of them
    Then it has rows within 2000 ms

  Scenario: An entry behind a slow link gets the rows of many backend servers
    Given a control VM that has rows of 1500 backend servers
    And a link to it with 100000 bytes per second
    When an entry starts and polls the first of them
    Then it has the rows of 1500 backend servers within 3000 ms
