Feature: Several faults at once and in a row

  Callers send lookups and bookings throughout while two or three faults
  overlap. `-D seed=N` selects other pauses, processes and targets.

  Scenario Outline: <faults> of seed <seed>
    When <faults> are injected under load with seed <seed>
    Then all invariants held

    Examples:
      | seed | faults                                        |
      | 1    | freeze_entry,reset_connections                |
      | 4    | freeze_leader,kill_entry                      |
      | 11   | make_cold,race_operators,take_out_data_centre |
      | 12   | make_cold,kill_entry,silence_connections      |
      | 13   | crash_by_request,fall_cold,drain              |
      | 14   | lose_second_control,fail_fast                 |

  Scenario Outline: <faults> on the platform, of seed <seed>
    When <faults> are injected into the platform with seed <seed>
    Then all invariants held

    Examples:
      | seed | faults                              |
      | 1    | freeze_control,drain_target         |
      | 2    | kill_all,change_often,say_farewell  |
      | 3    | stop_entries,reset_answers,evacuate |
      | 4    | lose_disk,hang,kill_entry           |
      | 5    | silence_connections,evacuate        |
      | 6    | cut_one_way,delay_target,drain_target |
      | 7    | reset_connections,silence_target,kill_control |
      | 8    | leave_in_answers,freeze_entry,push_back       |
      | 9    | push_back,stop_entries,leave_in_answers       |
      | 10   | leave_in_answers,cut_off_target,kill_control  |

  Scenario Outline: The judge of the platform reports a booking that <what>
    Given a booking that <what>
    Then the judge reports "<words>"

    Examples:
      | what                                 | words                  |
      | ran twice                            | ran 2 times            |
      | ran but was answered 503             | but was answered 503   |
      | was answered but never ran           | got another answer     |
      | got the answer of another            | got another answer     |
      | arrived with another body            | arrived changed        |
      | was rejected with 404                | was rejected with 404  |
      | ran on a target after its farewell   | while out of service   |
      | was dropped by an entry that stopped | was dropped by front-1 |
      | reached a target that had left       | which had left         |
      | reached a target that pushed back    | which pushed back      |
