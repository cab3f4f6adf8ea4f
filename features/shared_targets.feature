Feature: Decisions of entries that share their targets, without a network

  Scenario Outline: The newest start and the highest sequence number of a target win
    Given a target known as <known>
    When it is announced as <announced>
    Then the row is <row>

    Examples:
      | known                | announced            | row                  |
      | a born 5 #4 ready    | a born 5 #5 draining | a born 5 #5 draining |
      | a born 5 #4 ready    | a born 5 #3 draining | a born 5 #4 ready    |
      | a born 5 #6 draining | a born 5 #7 ready    | a born 5 #7 draining |
      | a born 5 #6 gone     | a born 5 #7 ready    | a born 5 #6 gone     |
      | a born 5 #6 gone     | a born 9 #1 ready    | a born 9 #1 ready    |
      | b born 9 #1 ready    | a born 5 #7 ready    | b born 9 #1 ready    |
      | a born 5 #9 ready    | a born 9 #1 ready    | a born 9 #1 ready    |

  Scenario: A target removed as unresponsive may return, one that announced leaving may not
    Given a target known as a born 5 #4 ready
    When it is removed as unresponsive
    And it is announced as a born 5 #5 ready
    Then the row is a born 5 #5 ready
    When it announces that it leaves
    And it is announced as a born 5 #6 ready
    Then the row is a born 5 #5 gone

  Scenario: The longest prefix of a host wins
    Given routes of "/", "/a/" and "/a/b/" at "desk.example"
    Then these paths have these routes
      | host             | path   | prefix |
      | desk.example     | /a/b/c | /a/b/  |
      | DESK.example:80  | /a/bc  | /a/    |
      | desk.example     | /b     | /      |
      | other.example    | /a/b/c | none   |

  Scenario: A split gives each service its weight
    Given a route split 90 to 10
    Then of 3000 requests the second service gets 0.1 within 0.03

  Scenario: Local targets rank before remote ones, fast before slow ones
    Then these targets are ranked in this order
      | near | slots | running | work_ms | rank |
      | yes  | 3     | 0       | 100     | 1    |
      | yes  | 3     | 1       | 100     | 2    |
      | yes  | 3     | 0       | 200     | 3    |
      | no   | 3     | 0       | 100     | 4    |

  Scenario: Targets that would answer too late are selectable only as a last resort
    Then these targets are selectable only as a last resort
      | near | slots | running | work_ms |
      | yes  | 3     | 0       | 900     |
      | yes  | 3     | 1       | 700     |

  Scenario: Full targets are never selectable
    Then these targets are never selectable
      | near | slots | running | work_ms |
      | yes  | 3     | 3       | 100     |
      | yes  | 3     | 2.8     | 100     |
      | no   | 6     | 7       | 100     |

  Scenario: All entries together stay below the rate limit of a target in cold start
    Given 17 entries that each send all that they may to one target
    Then it gets at most 11 in any second where it sustains 4 a second

  Scenario: All entries together stay below the budget of resends
    Given 17 entries that resend as often as they may, 5 requests a second each
    Then in any 10 s at most 0.2 a request and 62 more are resent

  Scenario Outline: Entries with few requests learn together which targets fail
    Given 8 entries with 6 targets, of which 3 fail <part> in 100 requests
    When they serve <rate> requests a second in all for 10 s
    Then at most <most> in 100 requests meet a failure
    And the targets that fail get work again within 20 s after they have recovered

    Examples:
      | part | rate | most |
      | 100  | 8    | 12   |
      | 100  | 4    | 20   |
      | 40   | 8    | 10   |

  Scenario Outline: Entries learn together which targets never answer
    Given <entries> entries with <targets> targets, of which <hanging> never answer <part> in 100 requests
    When they serve <rate> requests a second in all for 10 s
    Then at most <most> in 100 requests meet a failure
    And the targets that fail get work again within 20 s after they have recovered

    Examples:
      | entries | targets | hanging | part | rate | most |
      | 8       | 6       | 3       | 100  | 8    | 12   |
      | 8       | 12      | 3       | 60   | 16   | 5    |
      | 8       | 6       | 3       | 60   | 8    | 12   |

  Scenario Outline: <part> in 100 requests at <entries> entries fail at once
    Given <entries> entries that serve <rate> requests a second in all
    When <part> in 100 of their requests fail from second 60 to 120
    Then in any 10 s at most 0.2 a request and 62 more are resent
    And at least <least> in 100 of the failed requests are resent

    Examples:
      | entries | rate | part | least |
      | 17      | 100  | 100  | 15    |
      | 17      | 100  | 15   | 80    |
      | 107     | 16   | 100  | 15    |
      | 107     | 50   | 15   | 60    |
      | 107     | 50   | 40   | 35    |
      | 312     | 16   | 100  | 15    |
      | 312     | 90   | 100  | 15    |
      | 312     | 90   | 50   | 25    |

  Scenario Outline: The work time is known after few answers
    Given a route with an objective of <objective> ms
    Then its work is expected to take <guess> ms
    When <answers> of its answers take <took> ms each
    Then its work is expected to take between <least> and <most> ms

    Examples:
      | objective | guess | answers | took | least | most |
      | 800       | 320   | 1       | 290  | 290   | 320  |
      | 1500      | 600   | 3       | 690  | 640   | 690  |
      | 200       | 80    | 3       | 59   | 59    | 70   |
      | 250       | 100   | 5       | 530  | 400   | 530  |

  Scenario: One answer that takes very long moves the estimate by little
    Given a route with an objective of 800 ms
    When 20 of its answers take 300 ms each
    And 1 of its answers take 9000 ms each
    Then its work is expected to take between 300 and 315 ms

  Scenario Outline: The spent time of a caller is estimated from its remaining time
    Given callers of a route with remaining times of <before> ms
    Then one with <left> ms remaining has waited <spent> ms before

    Examples:
      | before           | left | spent |
      |                  | 4000 | 0     |
      | 2400             | 4000 | 0     |
      | 4000             | 4000 | 0     |
      | 4000, 4000       | 4000 | 0     |
      | 4000, 4000       | 2400 | 1600  |
      | 4000, 4000, 5000 | 4500 | 0     |
      | 4000, 4000, 3000, 3000 | 2900 | 100 |
      | 4000, 4000, 3000, 3000 | 3000 | 0   |

  Scenario: Old remaining times of callers are forgotten
    Given callers of a route with remaining times of 4000, 4000 ms
    And 64 more with other times
    Then one with 2400 ms remaining has waited 0 ms before

  Scenario: A late request leaves one slot of each target free
    Then these targets are not selectable for a late request
      | near | slots | running | work_ms |
      | yes  | 3     | 2       | 100     |
      | yes  | 6     | 5       | 100     |
      | yes  | 1     | 1       | 100     |
      | yes  | 3     | 0       | 2100    |
    And these are selectable, though the answer is late
      | near | slots | running | work_ms |
      | yes  | 3     | 1       | 100     |
      | yes  | 6     | 4       | 100     |
      | yes  | 1     | 0       | 100     |
      | yes  | 3     | 0       | 900     |

  Scenario: Requests that can be in time wait before those that can't
    Given 6 waiting requests, late ones of priority 0 and others of priority 2 by turns
    Then those of priority 2 are first
    When the first one becomes late
    Then it waits behind those of priority 0
    And another one in time displaces the last, a late one does not

  Scenario: An unresponsive entry is soon not listed to callers
    Given an entry that another one sends to every 300 ms
    Then after 600 ms without it the other is listed to callers
    And after 800 ms without it the other is not listed to callers
    When the other sends again
    Then after 0 ms without it the other is listed to callers

  Scenario Outline: Entries of a data centre send their counts to few peers
    Given a data centre of <entries> entries
    Then each sends to <peers> others, and receives from those that send to it

    Examples:
      | entries | peers |
      | 1       | 0     |
      | 6       | 5     |
      | 9       | 8     |
      | 48      | 8     |

  Scenario: An entry that is no longer a peer is not unresponsive
    Given a data centre of 48 entries
    When one that sent to the first and is no peer of it now is lost
    Then it is listed to callers until control has removed it

  Scenario: A request that finds the queue full gets no slot before the queue
    Given an entry with a full queue of requests, all in time
    When a slot is free for a late request, and one arrives
    Then it is rejected at once since too many wait

  Scenario Outline: A target that reports that it is fast is selected before others are probed
    Given 60 targets near an entry, each slowed by a factor of 5 in <slowed> % of the time
    When 500 requests are placed too far apart to share the answers of probes
    Then at most <probes> probes were sent for a request
    And at most <slow> % were sent to a target that was slowed then

    Examples:
      | slowed | probes | slow |
      | 0      | 1.2    | 0    |
      | 25     | 2.0    | 1    |
      | 35     | 2.5    | 1    |

  Scenario: If all probed targets are slow, an unprobed one is not selected
    Given 60 targets near an entry, each slowed by a factor of 5 in 100 % of the time
    Then a request that can be in time finds no target

  Scenario: If no target answers probes, an unprobed one is selected
    Given 60 targets near an entry, each slowed by a factor of 5 in 100 % of the time
    And no answers to probes arrive
    Then a request that can be in time finds a target

  Scenario: Probes to a target that fails them are paced
    Given a target whose probes fail at once
    When the last byte of a request to it is held back
    Then it was probed at most 25 times

  Scenario: Entries of a large data centre keep their connections in use
    When 45 entries send 2 requests a second each to 35 targets for 60 s
    Then less than 0.4 connections a request are opened
    And the busiest target gets at most 1.6 times the mean
