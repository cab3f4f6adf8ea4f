Feature: An entry follows what changes, not all that there is

  Scenario: One target of many changes
    Given an entry that follows 300 targets
    When one of them says that it drains
    Then the entry looks at 1 target of them
    And it does not send to that one any more

  Scenario: Rows that change in any order lead to what all rows say
    Given an entry that follows 40 targets
    When 400 changes by chance arrive, some of them together
    Then it knows the targets that one knows which reads all rows at once

  Scenario Outline: Rows that many entries lack are made ready once
    Given a control VM with <rows> rows that <streams> streams lack
    When each stream sends them
    Then they were looked up once
    And every stream has sent all <rows> rows

    Examples:
      | rows | streams |
      | 20   | 30      |
      | 3000 | 30      |

  Scenario: Backend servers that announce themselves one after the other
    Given a control VM whose entries get rows every 200 ms at most
    When 12 backend servers announce themselves within 150 ms
    Then their rows are sent in at most 2 parts
    When one of them drains
    Then its row is sent within 50 ms
