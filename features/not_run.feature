@fixture.small_relayed
Feature: A request that is reported as "not run" never ran

  Background:
    Given backend servers that take 30 ms
    And lookups of all services are answered through every entry

  Scenario Outline: Requests are sent while <fault>
    When 60 requests of each kind are sent while <fault>
    Then each got an outcome, and no request with "not run" ran
    And at least <least> of them got "<outcome>"

    Examples:
      | fault                                      | least | outcome  |
      | nothing fails                              | 30    | answered |
      | entries are cut off from each other        | 1     | answered |
      | connections between entries are reset      | 1     | answered |
      | entries are cut off from backend servers   | 30    | unknown  |
      | connections to backend servers are reset   | 1     | unknown  |
      | backend servers shed load                  | 30    | not-run  |
      | backend servers truncate their answers     | 30    | unknown  |
      | backend servers are unresponsive           | 1     | unknown  |
      | control VMs are cut off                    | 1     | unknown  |
      | an entry is killed and restarted           | 1     | answered |
