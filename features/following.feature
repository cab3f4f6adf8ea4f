Feature: An entry applies changed rows only, not all rows

  Scenario: One target of many changes
    Given an entry that follows 300 targets
    When one of them announces that it drains
    Then the entry examines 1 of its targets
    And it no longer sends to that target

  Scenario: Changes applied one by one lead to the same state as all rows at once
    Given an entry that follows 40 targets
    When 400 random changes arrive, some of them together
    Then it has the same targets as an entry that reads all rows at once

  Scenario Outline: Rows that many streams lack are prepared once
    Given a control VM with <rows> rows that <streams> streams lack
    When each stream sends them
    Then they were looked up once
    And every stream has sent all <rows> rows

    Examples:
      | rows | streams |
      | 20   | 30      |
      | 3000 | 30      |

  Scenario: Announcements in quick succession are sent in few parts
    Given a control VM whose entries get rows every 200 ms at most
    When 12 backend servers announce themselves within 150 ms
    Then their rows are sent in at most 2 parts
    When one of them drains
    Then its row is sent within 50 ms
