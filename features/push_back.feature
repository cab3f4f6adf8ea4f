Feature: An entry leaves targets alone that push back

  Scenario Outline: Retry-After is read as <seconds> s
    Then a refusal with Retry-After <values> asks for <seconds> s

    Examples:
      | values                     | seconds   |
      | 3                          | 3         |
      | 1.5                        | 1.5       |
      | 0                          | 0         |
      | 7.                         | 7         |
      | 999999999999999            | 999999999999999 |
      | 2 and 5                    | 5         |
      | 2 and soon                 | 2         |

  Scenario Outline: Retry-After that can't be read is no push-back
    Then a refusal with Retry-After <values> asks for nothing

    Examples:
      | values                         |
      | -1                             |
      | soon                           |
      | 1e9                            |
      | inf                            |
      | nan                            |
      | 3, 5                           |
      | 9999999999999999999999999      |
      | Wed, 21 Oct 2026 07:28:00 GMT  |
      | (empty)                        |

  Scenario: A hold is as long as the settings allow at the most
    Given a target that asks for 3600 s, where 60 s are the longest hold
    Then it is held for 60 s

  Scenario: A shorter hold does not replace a longer one, nor an early answer
    Given a target that asks for 5 s, and then for 1 s
    And it answers a request that was sent before
    Then it is held for 5 s

  Scenario: A target comes back by a few requests first
    Given a target that asks for 2 s, and then for 2 s
    When its hold is over
    Then it may run 1 request, then 2, 4 and 8, and then any number

  Scenario Outline: A request waits only for a target that returns in time
    Then a request of 100 ms with 1000 ms left <waits> for a target that returns in <return> ms

    Examples:
      | return | waits         |
      | 300    | waits         |
      | 500    | does not wait |
      | 950    | does not wait |

  Scenario Outline: A service of which <part> push back for 3 s
    Given 12 targets that bear 3 requests each, and 4 entries in virtual time
    When <part> of them push back for 3 s while 150 requests a second come
    Then no target gets more than 2 requests from an entry while it pushes back
    And in these 3 s <lost>
    And at most 20 % of the requests are sent again
    And 1 s later all requests are answered

    Examples:
      | part    | lost                                         |
      | a third | at most one request is lost for each refusal |
      | all     | all requests are lost                        |

  Scenario Outline: A target that pushes back <how> gets no requests until it ends
    Given an entry with routes for lookups and bookings
    And 2 targets
    When the first target pushes back with "1.5" <how>
    And lookups are sent until it has refused one
    And 60 lookups and bookings are sent within 1300 ms
    Then the first target received none of them, and no load was asked for
    When it has stopped pushing back, and its time is over
    And 30 lookups and bookings are sent
    Then both targets received some of them

    Examples:
      | how               |
      | and did not run   |
      | without a promise |

  Scenario: A header that can't be read holds nothing and is logged
    Given an entry with routes for lookups and bookings
    And 2 targets
    When the first target pushes back with "soon" and did not run
    And lookups are sent until it has refused one
    And it has stopped pushing back
    And 30 lookups and bookings are sent
    Then both targets received some of them

  Scenario: All targets push back
    Given an entry with routes for lookups and bookings
    And 2 targets
    When both targets push back with "3"
    And lookups are sent until both have refused one
    Then the next lookup is refused with 503 within 200 ms
    And it says to come back in 2 to 5 s
    And the targets received nothing more

  Scenario: A booking that may have run is not sent to a second target
    Given an entry with routes for lookups and bookings
    And 2 targets
    When both targets push back with "1" without a promise
    Then a booking is answered with 502 and reached one target

  Scenario Outline: The copy of a refusal that pushes back holds nothing <when>
    Given a server that sends a second copy of its first answer
    And an entry of the platform that uses only this server
    When the first answer pushes back for 0.2 s, and is sent again <when>
    And two bookings are sent one after the other, 300 ms apart
    Then the second one got its own answer
    And the server is not held

    Examples:
      | when                                |
      | in one segment with the next answer |
      | before the next answer, cut in two  |
