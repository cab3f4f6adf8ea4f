Feature: Faults together and twice

  Callers look up and book all the time while two or three faults happen on
  top of each other. `-D seed=N` runs another sequence.

  Scenario Outline: Faults of seed <seed>
    When <faults> faults of seed <seed> happen under load
    Then all that must always hold was held

    Examples:
      | seed | faults |
      | 1    | 2      |
      | 4    | 2      |
      | 11   | 3      |
      | 12   | 3      |
