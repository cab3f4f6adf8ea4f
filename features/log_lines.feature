Feature: Log lines are of kinds that are known, and hold nobody up

  Scenario: Every line that the programs write is in the table
    Given the lines that the programs write
    Then each of them is in the table with its level and its fields
    And each kind of the table is written somewhere
    And each field of the table is explained

  Scenario: The page of log lines is the one that the table gives
    Then docs/log-lines.md is what log-page prints

  Scenario: Pages that are named in messages and comments are there
    Then each page that the programs name exists

  Scenario Outline: Lines that callers cause are bounded, and the rest counted
    Given a limit for lines "<message>"
    When <caused> of them come within a second
    Then <written> may be written
    When another one comes 2 s later
    Then it is written after a line that counts <left> dropped

    Examples:
      | message                         | caused | written | left |
      | answered request with error     | 100    | 20      | 80   |
      | rejected request before routing | 21     | 20      | 1    |
      | control group unavailable       | 500    | 20      | 480  |

  Scenario: A reader that stops reading costs lines and holds up nothing
    Given a program that logs to a pipe that nobody reads
    When it logs 5000 lines
    Then all of them are taken within 10 s
    When the reader reads again and another line is logged
    Then the reader gets whole lines, and one that counts those left out
