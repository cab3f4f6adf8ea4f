Feature: Log lines are listed in a table and never block a program

  Scenario: Every line that the programs write is in the table
    Given the lines that the programs write
    Then each of them is in the table with its level and its fields
    And each kind of the table is written somewhere
    And each field of the table is explained

  Scenario: The page of log lines is generated from the table
    Then docs/log-lines.md is what log-page prints

  Scenario: Pages named in messages and comments exist
    Then each page that the programs name exists

  Scenario Outline: Lines that callers cause are limited, and others counted
    Given a limit for lines "<message>"
    When <caused> of them are caused within a second
    Then <written> may be written
    When another one is caused 2 s later
    Then it is written after a line that counts <left> dropped

    Examples:
      | message                         | caused | written | left |
      | answered request with error     | 100    | 20      | 80   |
      | rejected request before routing | 21     | 20      | 1    |
      | control group unavailable       | 500    | 20      | 480  |

  Scenario: A reader that stops reading loses lines but blocks no program
    Given a program that logs to a pipe without a reader
    When it logs 5000 lines
    Then all calls return within 10 s
    When the reader reads again and another line is logged
    Then the reader gets complete lines, and one that counts the dropped ones
