Feature: Slot accounting, owner assignment and queue order

  Scenario: No history of requests and owners exceeds the slots of a target
    When random histories of owners that are lost and return are tried
    Then the target never had more work than slots

  Scenario: The limit of a target in cold start grows only with its answers
    When random histories of answers, cold starts and announcements are tried
    Then the limit stayed at the cold limit until the target was warm

  Scenario: A target that is removed and announced again keeps its work
    Given a target with 3 slots that an entry owns
    When the target is removed and announces itself again
    Then 3 slots count as taken for the longest deadline
    When the target is removed and a new instance announces itself
    Then 0 slots count as taken

  Scenario: Work of an ended session counts for the longest allowed deadline
    Given a target with 3 slots that an entry owns
    When the session ends with a longest deadline of 2000 ms
    Then 3 slots count as taken for 2200 ms

  Scenario Outline: A shorter deadline takes effect only after older work has ended
    Given a leader whose settings allow deadlines of 10000 ms
    When the settings change to 2000 ms and <seconds> s pass
    Then the work of a session that ends may continue for <bound> ms

    Examples:
      | seconds | bound |
      | 1       | 10000 |
      | 13      | 10000 |
      | 14      | 2000  |

  Scenario: The queue serves the earliest deadline first and has a limit
    Given a queue for 3 requests
    When requests with deadlines 300, 100 and 200 wait
    Then they are served in the order 100, 200, 300
    And the queue is full

  Scenario Outline: 36 targets get local owners among 17 entries, in balance
    Given the targets and entries of <deployment>
    When owners are planned until nothing changes
    Then every target has an owner in its data centre
    When a rack of <lost> entries is lost
    And owners are planned until nothing changes
    Then no target of a remaining owner moved
    When the entries return
    And owners are balanced until nothing changes
    Then at most 8 targets moved at a time
    And no owner has more than twice the share of its data centre

    Examples:
      | deployment       | lost |
      | Ar Gwenn Skouarn | 3    |
      | Ar Gwenn Skouarn | 12   |
      | Ar Gwenn Skouarn | 15   |
      | Cart Commons     | 6    |
      | Cart Commons     | 12   |
