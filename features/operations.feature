Feature: The documented commands lead from a failed request to its cause

  Background:
    Given the commands of docs/OPERATIONS.md

  @fixture.platform
  Scenario: Refused though capacity seemed free
    When the operator sends configuration 1 on 0
    Given a target of dossier and one of keepsake
    Then every entry is ready
    And a lookup and a booking are answered by their services
    When the target of keepsake deregisters
    And a booking fails with 503
    Then command 1 of "Refused though capacity" shows one line with
      | field   | value                          |
      | reason  | no target of keepsake is known |
      | targets | []                             |
    And command 2 of "Refused though capacity" ends with the line "target deregistered" of that target

  @fixture.platform
  Scenario: 502 of a request that may have run
    When the operator sends configuration 1 on 0
    Given a target of dossier and one of keepsake
    Then every entry is ready
    And a lookup and a booking are answered by their services
    When the target of keepsake ends its connections in the middle of runs
    And a booking fails with 502
    Then command 1 of "502 of a request" shows one line with
      | field   | value         |
      | reason  | it was closed |
      | targets | the target    |
    And command 2 of "502 of a request" shows that line too

  @fixture.platform
  Scenario: Answered too late after a configuration change
    When the operator sends configuration 1 on 0
    Given a target of dossier and one of keepsake
    Then every entry is ready
    And a lookup and a booking are answered by their services
    When the operator sends configuration 2 on 1 with a timeout of 100 ms
    Then every entry applies configuration 2
    When the target of keepsake does not answer
    And a booking fails with 504
    Then command 1 of "Answered too late" shows one line with
      | field  | value             |
      | reason | no answer in time |
      | route  | book              |
    And its time limit was 100 ms
    And command 2 of "Answered too late" ends with configuration 2 of that entry
    And command 3 of "Answered too late" ends with configuration 2, based on 1
