@fixture.small_relayed
Feature: Who is told "not run" can rely on it

  Background:
    Given backend servers that take 30 ms
    And lookups of all services are answered through every entry

  Scenario Outline: Requests are sent while <fault>
    When 60 requests of each kind are sent while <fault>
    Then each was told an outcome, and what was "not run" never ran
    And at least <least> of them were told "<outcome>"

    Examples:
      | fault                                      | least | outcome  |
      | nothing fails                              | 30    | answered |
      | entries are cut off from each other        | 1     | answered |
      | connections between entries are reset      | 1     | answered |
      | entries are cut off from backend servers   | 30    | unknown  |
      | connections to backend servers are reset   | 1     | unknown  |
      | backend servers shed their load            | 30    | not-run  |
      | backend servers end answers in the middle  | 30    | unknown  |
      | backend servers are silent                 | 1     | unknown  |
      | control VMs are cut off                    | 1     | unknown  |
      | an entry is killed and comes back          | 1     | answered |
