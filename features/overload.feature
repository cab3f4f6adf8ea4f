Feature: A service that is short of room

  Scenario: A burst of 2.3 times the usual load at targets that hang when full
    Given 8 entries with 12 targets of 2 slots that hang when full
    And an urgent route of 120 ms useful within 250 ms, and one of 160 ms within 400 ms
    When 84 requests a second arrive for 6 s
    Then at least 35 in 100 of all are answered in time
    And at most 2 in 100 get no answer
    And the less urgent ones are answered in time at most 10 in 100 more often
    And each rank is answered at least half as often as all

  Scenario: One account sends 9 times its usual load at a service at 1.6 times its room
    Given 8 entries with 12 targets of 2 slots that hang when full
    And 87 accounts of skew 1.2, the first of which rushes after 5 s
    When 116 requests a second arrive for 11 s
    Then the credit of the others is within 3 in 100 of that without the rush or above
    And no account of 10 requests or more is answered less than a quarter as often as the others

  Scenario Outline: A request is refused at once if it can't be served in time
    Given an entry whose requests have waited <waited> ms for a target
    When one arrives that was sent <spent> ms ago, with an objective of 600 ms and 250 ms of work
    Then it is <answer>

    Examples:
      | waited | spent | answer                            |
      | 0      | 0     | admitted                          |
      | 0      | 500   | admitted                          |
      | 200    | 0     | admitted                          |
      | 200    | 500   | refused, to return within 1000 ms |

  Scenario: Who was refused once goes before new requests of the same rank
    Given waiting requests in the order "new 1, returned 1, new 0, late 0, returned 0"
    Then they are served in the order "returned 0, new 0, returned 1, new 1, late 0"

  Scenario Outline: A request hangs at a target that reports <load>
    Given a target that reports "<load>" and never answers
    When the entry waits for its answer and asks after 300 ms
    Then the request ends as <end> after <least> to <most> ms
    And the target gets <next>

    Examples:
      | load      | end      | least | most | next                        |
      | 0,0,2,100 | hung     | 400   | 410  | one request after a second  |
      | 1,0,2,100 | not hung | 2000  | 2000 | requests as before          |

  Scenario Outline: Near targets are full, those elsewhere are <elsewhere>
    Given an entry whose near targets are full, and those elsewhere <elsewhere>
    When 3 requests with an objective of 400 ms arrive together
    Then <placed> of them get a target
    And the service is <state> of room

    Examples:
      | elsewhere | placed | state     |
      | idle      | 3      | not short |
      | full      | 0      | short     |
      | none      | 0      | short     |

  Scenario Outline: Requests wait <waits> ms at the head of the queue, one each 300 ms
    Given an entry whose requests wait <waits> ms at the head of the queue, one each 300 ms
    When no other arrives for <quiet> ms
    Then the service is <state> of room

    Examples:
      | waits                | quiet | state     |
      | 1000                 | 500   | short     |
      | 1000                 | 1100  | not short |
      | 1000, 0, 0, 0, 0     | 0     | not short |
      | 200, 0, 0, 200, 0, 0 | 0     | short     |
      | 200, 200, 200        | 1100  | short     |

  Scenario Outline: Urgent requests fail <while>, less urgent ones don't
    Given an entry with 1 of 20 urgent requests in time and all less urgent ones, <while>
    When the service is short of room 300 ms later
    Then <least> to <most> in 100 of the less urgent ones are refused at first

    Examples:
      | while                      | least | most |
      | while there is room        | 0     | 0    |
      | in a shortage              | 50    | 80   |
      | in a shortage that is over | 0     | 0    |

  Scenario: A request that becomes late at the head of the queue
    Given an entry whose near targets are full, and those elsewhere none
    When a request with an objective of 400 ms has waited for 300 ms, and still waits
    Then the service is short of room

  Scenario Outline: One of two targets of 4 slots is <state>
    Given an entry with two targets of 4 slots, one of which is <state>
    Then a slot comes free each <interval> ms where the work takes 160 ms

    Examples:
      | state          | interval |
      | in service     | 20       |
      | out of service | 40       |
      | leaving        | 40       |
      | cold           | 40       |
      | down           | 40       |
      | barred         | 40       |
