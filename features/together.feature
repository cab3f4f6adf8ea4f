Feature: Faults together and twice

  Callers look up and book all the time while two or three faults happen on
  top of each other. `-D seed=N` draws other pauses and picks.

  Scenario Outline: <faults> of seed <seed>
    When <faults> happen under load, drawn by seed <seed>
    Then all that must always hold was held

    Examples:
      | seed | faults                                        |
      | 1    | freeze_entry,reset_connections                |
      | 4    | freeze_leader,kill_entry                      |
      | 11   | make_cold,race_operators,take_out_data_centre |
      | 12   | make_cold,kill_entry,silence_connections      |
      | 13   | crash_by_request,fall_cold,drain              |
      | 14   | lose_second_control,fail_fast                 |
