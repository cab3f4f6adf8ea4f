Feature: A gateway, an entry that sends to every target directly

  Background:
    Given an entry with routes for lookups and bookings

  Scenario: A request gets the complete answer of a target
    Given 2 targets
    When a lookup is sent
    Then it got the complete answer with its seal
    And the target received its id, its instance and a deadline within its time

  Scenario Outline: A lookup whose first target fails is answered by another
    Given 2 targets
    And the next request at any target ends with "<behaviour>"
    When a lookup is sent
    Then it got the complete answer with its seal
    And targets ran it at most 2 times

    Examples:
      | behaviour      |
      | reset          |
      | error          |
      | unsealed       |
      | empty seal     |
      | encoded        |
      | cut            |
      | full           |
      | unpromised 503 |

  Scenario Outline: Connecting leaves time for another target within an objective of <objective> ms
    Given 2 targets
    And the routes have an objective of <objective> ms
    And the first connection to a target does not open
    When a lookup is sent
    Then it got the complete answer with its seal
    And connections to targets were given at most <limit> ms to open

    Examples:
      | objective | limit |
      | 200       | 80    |
      | 600       | 240   |
      | 1000      | 250   |

  Scenario Outline: A booking is not sent again once it may have run
    Given 2 targets
    And the next request at any target ends with "<behaviour>"
    When a booking is sent
    Then its status is <status>
    And targets ran it at most 1 time

    Examples:
      | behaviour      | status |
      | reset          | 502    |
      | unsealed       | 502    |
      | empty seal     | 502    |
      | cut            | 502    |
      | error          | 500    |
      | unpromised 503 | 502    |

  Scenario: A booking that a target did not run is sent to another
    Given 2 targets
    And the next request at any target ends with "full"
    When a booking is sent
    Then it got the complete answer with its seal

  Scenario: A booking that no target ran is rejected with a promise to that effect
    Given 2 targets
    And every request at any target ends with "full"
    When a booking is sent
    Then its status is 503
    And its answer has a Retry-After header
    And targets ran it at most 0 times

  Scenario Outline: Stray answers and surplus bytes reach no caller
    Given 1 target
    And the next request at any target ends with "<behaviour>"
    When a lookup is sent
    Then it got the complete answer with its seal
    When a lookup is sent
    Then it got the complete answer with its seal

    Examples:
      | behaviour   |
      | stray first |
      | twice       |
      | unframed    |

  Scenario: Pipelined requests are answered in order
    Given 2 targets
    And one connection
    When 5 lookups are pipelined on it
    Then 5 complete answers arrive in order

  Scenario: A request is cancelled when its caller disconnects
    Given 1 target
    And every request at any target ends with "hang"
    And one connection
    When a lookup is sent on it and its caller disconnects
    Then the target sees the disconnect within 500 ms

  Scenario: A request is answered when its timeout ends
    Given 1 target
    And a timeout of 300 ms
    And every request at any target ends with "hang"
    When a booking is sent
    Then its status is 504
    And its answer took 300 to 800 ms

  Scenario: A request that takes many times its work counts as a failure and is answered
    Given 1 target
    And work of 20 ms
    When 10 bookings are sent one after another
    Given work of 1000 ms
    When a booking is sent, and 300 ms later the state of its target is read
    Then its target did not count as failing
    When a booking is sent, and 800 ms later the state of its target is read
    Then its target counted as failing
    And its status is 200

  Scenario: A lookup that can't be in time any more is answered late by a second target
    Given 2 targets
    And work of 250 ms
    When 5 lookups are answered
    Given the next request at any target ends with "hang"
    When a lookup is sent
    Then its status is 200

  Scenario: Every request that no target answers in time gets the same status
    Given 10 targets
    And a timeout of 30 ms
    And every request at any target ends with "hang"
    When 40 bookings are sent one after another
    Then each that a target got is answered 504, any other 503 at once
    And targets got at least 36 of them

  Scenario: An unknown route is answered 404, a request without routes 503
    When a lookup is sent to "/none/1"
    Then its status is 404
    Given an entry without routes
    When a lookup is sent
    Then its status is 503
    And its answer has a Retry-After header

  Scenario: A request to an entry that has just started waits for its routes
    Given an entry without routes
    When a lookup is sent, and 300 ms later the entry gets routes and a target
    Then its status is 200
    Given an entry without routes
    When a lookup with a deadline of 800 ms is sent
    Then its status is 503
    And its answer took 0 to 300 ms
    Given an entry without routes
    When it has been without routes for 1100 ms
    And a lookup is sent
    Then its status is 503
    And its answer took 0 to 100 ms

  Scenario: A request to a service without targets is rejected at once
    When a lookup is sent
    Then its status is 503
    And its answer took 0 to 200 ms

  Scenario: A target that drains or is taken out gets no requests
    Given 2 targets
    When the first target drains
    And 10 lookups reach the entry
    Then the first target got none of them
    When the data centre is taken out
    And a lookup is sent
    Then its status is 503

  Scenario: Another start at the address of a target runs none of its requests
    Given 2 targets
    When another start replaces the first target
    And 10 lookups reach the entry
    Then all of them were answered completely
    And the first target ran none of them

  Scenario: A target gets no requests while it is slow
    Given 2 targets
    And the first target reports that work takes 5 times as long
    When 10 lookups reach the entry
    Then the first target got none of them

  Scenario: A target in another data centre is used if no local one remains
    Given 1 target
    And 1 target in "vannes"
    When 10 lookups reach the entry
    Then the second target got none of them
    When the first target drains
    And 10 lookups reach the entry
    Then all of them were answered completely

  Scenario: Targets get no more at a time than they have slots
    Given 2 targets
    And work of 100 ms
    When 6 lookups reach the entry concurrently
    Then no target ran more than 3 at a time

  Scenario: A target in cold start gets few requests a second
    Given 1 target in cold start that sustains 4 requests a second
    And 1 target in "vannes"
    When 40 lookups reach the entry
    Then all of them were answered completely
    And the first target got at most 6 in any second

  Scenario: A data centre that is brought back warm serves at once
    Given 3 targets of a service that sustains 4 requests a second in cold start
    When their data centre is taken out and brought back
    And 30 lookups reach the entry
    Then all of them were answered completely

  Scenario: A data centre that is brought back cold gets no more than it sustains
    Given 3 targets of a service that sustains 4 requests a second in cold start
    And they report that they are in cold start for 10000 ms
    And 1 target in "vannes"
    When their data centre is taken out and brought back
    And 60 lookups reach the entry
    Then the first 3 targets got at most 6 in any second, probes included

  Scenario: A request that crashes its targets is rejected
    Given 2 targets
    When the control group reports that a lookup crashed 2 targets
    And that lookup is sent
    Then its status is 503
    And targets ran it at most 0 times

  Scenario: A stop closes connections after their answers and aborts none
    Given 1 target
    And work of 500 ms
    And one connection
    When a lookup is sent on it and the entry is stopped
    Then it got the complete answer with its seal
    And the connection ends with it

  Scenario: An unused connection stays open for the configured time
    Given 1 target
    And connections of callers may be unused for 1000 ms
    And one connection
    When 4 lookups are sent on it with pauses of 800 ms
    Then all of them were answered completely
    When it is unused for 1500 ms
    Then the connection has ended

  Scenario: A new target gets its share of the requests
    Given 2 targets
    When 20 lookups reach the entry
    And another target joins
    And 9 lookups reach the entry concurrently
    Then the newest target got at least 2 of them

  Scenario: Resends that are late do not delay other requests
    Given an entry with routes for lookups and bookings
    And 2 targets that run no more at a time than they have slots
    And work of 250 ms
    When 60 lookups a second arrive for 4 s, of which 15 a second can be in time
    Then of those that can be in time 8 in 10 are
    And 8 in 10 of what the targets can run in 4 s at 250 ms are answered
    And no rejected lookup took over 1000 ms

  Scenario Outline: The last byte of a long request waits until its target is fast
    Given an entry behind a link of <rate> bytes a second
    And a target that has reported its load
    When it is slowed for <slowed> ms from the head of the next booking on
    And a booking of <size> bytes is sent
    Then it got the complete answer with its seal
    And the target received its last byte <least> to <most> ms after its head

    Examples:
      | rate      | size | slowed | least | most |
      | 250000    | 4000 | 150    | 140   | 300  |
      | 250000    | 4000 | 5000   | 250   | 500  |
      | 250000    | 500  | 150    | 0     | 100  |
      | 125000000 | 4000 | 150    | 0     | 100  |

  Scenario: An early answer does not corrupt the next request
    Given an entry behind a link of 250000 bytes a second
    And a target that has reported its load
    When it is slowed for 5000 ms from the head of the next booking on
    And the target answers the next booking before its last byte
    And a booking of 4000 bytes is sent
    Then its status is 500
    When a booking of 500 bytes is sent
    Then it got the complete answer with its seal

  Scenario: A caller disconnects while the last byte of its request is held back
    Given an entry behind a link of 250000 bytes a second
    And a target that has reported its load
    And one connection
    When it is slowed for 5000 ms from the head of the next booking on
    And a booking of 4000 bytes is sent on it and its caller disconnects
    Then no target received the complete booking
