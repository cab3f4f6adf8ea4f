Feature: Malformed input ends no process

  `-D seed=N` draws other input, `-D cases=N` more of it.

  Scenario Outline: Fuzzed <input> are refused or accepted, and raise nothing
    Then 400 fuzzed <input> with seed 1 raise nothing

    Examples:
      | input                        |
      | heartbeats                   |
      | configurations               |
      | announcements to a gateway   |
      | announcements to an entry    |
      | settings files               |
      | settings texts               |
      | datagrams                    |
      | reports of data centres      |
      | rows                         |

  Scenario: Fuzzed requests of callers
    Given an entry with routes for lookups and bookings
    And 1 target
    When 60 fuzzed requests with seed 1 are sent to the entry
    Then 5 lookups are answered completely

  Scenario: Fuzzed answers of targets
    Given an entry with routes for lookups and bookings
    And a target whose answers are fuzzed with seed 1
    When 60 lookups are sent to it
    Then none of them got an answer that is not the target's own
    When that target leaves
    Given 1 target
    Then 5 lookups are answered completely
