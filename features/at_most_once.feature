@fixture.small_relayed
Feature: A request that is not idempotent runs at most once

  Background:
    Given backend servers that take 150 ms

  Scenario: The same bookings are sent to all entries at the same time
    When 15 bookings are each sent to creneau through all entries at once
    Then no booking ran twice and every reported outcome was correct
    And every booking was eventually answered

  Scenario Outline: Bookings are sent and repeated while <fault>
    When 30 bookings are sent to creneau and repeated while <fault>
    Then no booking ran twice and every reported outcome was correct
    And at least <least> bookings were answered

    Examples:
      | fault                                         | least |
      | an entry is killed                            | 15    |
      | an entry is frozen past its lease and resumes | 15    |
      | the control leader is killed                  | 20    |
      | answers between entries are lost              | 1     |
      | answers of backend servers are lost           | 1     |

  Scenario: The caller disconnects in the middle of the run
    When the caller of a booking disconnects in the middle of its run
    And the booking is sent again through another entry
    Then no booking ran twice and every reported outcome was correct
    And every booking was eventually answered

  Scenario: The key is sent again with another body
    When a booking is sent twice with one key and two bodies
    Then the second was refused as not run with status 422
    And no booking ran twice and every reported outcome was correct

  Scenario: The answer is larger than the largest stored answer
    When a booking with an answer of 100000 bytes is sent twice
    Then the first was answered and the second is unknown
    And no booking ran twice and every reported outcome was correct
