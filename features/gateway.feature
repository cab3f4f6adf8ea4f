Feature: An entry that sends to every target itself

  Background:
    Given an entry with routes for lookups and bookings

  Scenario: A request gets the whole answer of a target
    Given 2 targets
    When a lookup is sent
    Then it got the whole answer with its seal
    And the target had its id, its start and at most its time

  Scenario Outline: A lookup whose first target fails is answered by another
    Given 2 targets
    And the next request at any target ends with "<behaviour>"
    When a lookup is sent
    Then it got the whole answer with its seal
    And targets ran it at most 2 times

    Examples:
      | behaviour      |
      | reset          |
      | error          |
      | unsealed       |
      | encoded        |
      | cut            |
      | full           |
      | unpromised 503 |

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
      | cut            | 502    |
      | error          | 500    |
      | unpromised 503 | 502    |

  Scenario: A booking that a target did not run is sent to another
    Given 2 targets
    And the next request at any target ends with "full"
    When a booking is sent
    Then it got the whole answer with its seal

  Scenario: A booking that no target ran is refused with a true promise
    Given 2 targets
    And every request at any target ends with "full"
    When a booking is sent
    Then its status is 503
    And it was told when to come back
    And targets ran it at most 0 times

  Scenario Outline: Bytes that belong to no request reach nobody
    Given 1 target
    And the next request at any target ends with "<behaviour>"
    When a lookup is sent
    Then it got the whole answer with its seal
    When a lookup is sent
    Then it got the whole answer with its seal

    Examples:
      | behaviour   |
      | stray first |
      | twice       |
      | unframed    |

  Scenario: Answers leave in the order of their requests
    Given 2 targets
    And one connection
    When 5 lookups are sent on it one behind the other
    Then 5 whole answers came in their order

  Scenario: A caller that leaves has its request stopped
    Given 1 target
    And every request at any target ends with "hang"
    And one connection
    When a lookup is sent on it and its caller leaves
    Then the target saw it leave within 500 ms

  Scenario: A request is answered when its time is over
    Given 1 target
    And a timeout of 300 ms
    And every request at any target ends with "hang"
    When a booking is sent
    Then its status is 504
    And its answer took 300 to 800 ms

  Scenario: A request that no target answers in time is always answered alike
    Given 10 targets
    And a timeout of 30 ms
    And every request at any target ends with "hang"
    When 40 bookings are sent one after another
    Then each that a target got is answered 504, any other 503 at once
    And targets got at least 36 of them

  Scenario: A route that is not there is answered 404, an entry without routes 503
    When a lookup is sent to "/none/1"
    Then its status is 404
    Given an entry without routes
    When a lookup is sent
    Then its status is 503
    And it was told when to come back

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

  Scenario: A service without targets is refused at once
    When a lookup is sent
    Then its status is 503
    And its answer took 0 to 200 ms

  Scenario: A target that drains, is taken out or is gone gets nothing
    Given 2 targets
    When the first target drains
    And 10 lookups reach the entry
    Then the first target got none of them
    When the data centre is taken out
    And a lookup is sent
    Then its status is 503

  Scenario: What listens at a target's address now is not taken for it
    Given 2 targets
    When another start takes the place of the first target
    And 10 lookups reach the entry
    Then all of them were answered whole
    And the first target ran none of them

  Scenario: A slow machine is passed over while it is slow
    Given 2 targets
    And the first target tells that work takes 5 times as long
    When 10 lookups reach the entry
    Then the first target got none of them

  Scenario: A far target is used where no near one is left
    Given 1 target
    And 1 target in "vannes"
    When 10 lookups reach the entry
    Then the second target got none of them
    When the first target drains
    And 10 lookups reach the entry
    Then all of them were answered whole

  Scenario: Targets get no more at a time than they have slots
    Given 2 targets
    And work of 100 ms
    When 6 lookups reach the entry side by side
    Then no target ran more than 3 at a time

  Scenario: A target in cold start gets few requests a second
    Given 1 target in cold start that bears 4 a second
    And 1 target in "vannes"
    When 40 lookups reach the entry
    Then all of them were answered whole
    And the first target got at most 6 in any second

  Scenario: A data centre that is taken back warm serves at once
    Given 3 targets of a service that bears 4 a second in cold start
    When their data centre is taken out and back
    And 30 lookups reach the entry
    Then all of them were answered whole

  Scenario: A data centre that is taken back cold gets no more than it bears
    Given 3 targets of a service that bears 4 a second in cold start
    And they tell that they are in cold start for 10000 ms
    And 1 target in "vannes"
    When their data centre is taken out and back
    And 60 lookups reach the entry
    Then the first 3 targets got at most 6 in any second, questions included

  Scenario: A request that crashes its targets is refused
    Given 2 targets
    When the control group tells that a lookup crashed 2 targets
    And that lookup is sent
    Then its status is 503
    And targets ran it at most 0 times

  Scenario: A stop ends connections after their answers and cuts none
    Given 1 target
    And work of 500 ms
    And one connection
    When a lookup is sent on it and the entry is stopped
    Then it got the whole answer with its seal
    And the connection ends with it

  Scenario: A kept connection serves for as long as operators want it kept
    Given 1 target
    And connections of callers may be unused for 1000 ms
    And one connection
    When 4 lookups are sent on it with pauses of 800 ms
    Then all of them were answered whole
    When it is unused for 1500 ms
    Then the connection has ended

  Scenario: A target that joins gets its part
    Given 2 targets
    When 20 lookups reach the entry
    And another target joins
    And 9 lookups reach the entry side by side
    Then the newest target got at least 2 of them

  Scenario: Callers that come back late do not make others late
    Given an entry with routes for lookups and bookings
    And 2 targets that run no more at a time than they have slots
    And work of 250 ms
    When 60 lookups a second come for 4 s, of which 15 a second can be in time
    Then of those that can be in time 8 in 10 are
    And 8 in 10 of what the targets can run in 4 s at 250 ms are answered
    And nobody who was refused was held for over 1000 ms

  Scenario Outline: The end of a long request waits until its target is fast
    Given an entry behind a link that carries <rate> bytes a second
    And a target that has told its load
    When it is slowed for <slowed> ms from the head of the next booking on
    And a booking of <size> bytes is sent
    Then it got the whole answer with its seal
    And the target had all of it <least> to <most> ms after its head

    Examples:
      | rate      | size | slowed | least | most |
      | 250000    | 4000 | 150    | 140   | 300  |
      | 250000    | 4000 | 5000   | 250   | 500  |
      | 250000    | 500  | 150    | 0     | 100  |
      | 125000000 | 4000 | 150    | 0     | 100  |

  Scenario: An answer that comes before the end of its request spoils nothing
    Given an entry behind a link that carries 250000 bytes a second
    And a target that has told its load
    When it is slowed for 5000 ms from the head of the next booking on
    And the target answers the next booking before it has all of it
    And a booking of 4000 bytes is sent
    Then its status is 500
    When a booking of 500 bytes is sent
    Then it got the whole answer with its seal

  Scenario: A caller that leaves while the end of its request is kept back
    Given an entry behind a link that carries 250000 bytes a second
    And a target that has told its load
    And one connection
    When it is slowed for 5000 ms from the head of the next booking on
    And a booking of 4000 bytes is sent on it and its caller leaves
    Then no target got all of it
