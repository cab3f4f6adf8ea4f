Feature: Decisions of entries that share their targets, without a network

  Scenario Outline: Announcements count by start and by number
    Given a target known as <known>
    When it is announced as <told>
    Then the row is <row>

    Examples:
      | known          | told           | row            |
      | a born 5 #4 ready    | a born 5 #5 draining | a born 5 #5 draining |
      | a born 5 #4 ready    | a born 5 #3 draining | a born 5 #4 ready    |
      | a born 5 #6 draining | a born 5 #7 ready    | a born 5 #7 draining |
      | a born 5 #6 gone     | a born 5 #7 ready    | a born 5 #6 gone     |
      | a born 5 #6 gone     | a born 9 #1 ready    | a born 9 #1 ready    |
      | b born 9 #1 ready    | a born 5 #7 ready    | b born 9 #1 ready    |
      | a born 5 #9 ready    | a born 9 #1 ready    | a born 9 #1 ready    |

  Scenario: A silent target is forgotten and may come back, one that said farewell may not
    Given a target known as a born 5 #4 ready
    When it is forgotten as silent
    And it is announced as a born 5 #5 ready
    Then the row is a born 5 #5 ready
    When it says farewell
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

  Scenario: A near target is chosen before a far one, a quick before a slow one
    Then these targets are ranked so
      | near | slots | running | work_ms | rank |
      | yes  | 3     | 0       | 100     | 1    |
      | yes  | 3     | 1       | 100     | 2    |
      | yes  | 3     | 0       | 200     | 3    |
      | no   | 3     | 0       | 100     | 4    |

  Scenario: What would answer too late is no choice but the last
    Then these targets are no choice unless late is better than never
      | near | slots | running | work_ms |
      | yes  | 3     | 0       | 900     |
      | yes  | 3     | 1       | 700     |

  Scenario: What is full is no choice at all
    Then these targets are no choice at all
      | near | slots | running | work_ms |
      | yes  | 3     | 3       | 100     |
      | yes  | 3     | 2.8     | 100     |
      | no   | 6     | 7       | 100     |

  Scenario: All entries together stay below the rate of a target in cold start
    Given 17 entries that each take all that they may from one target
    Then it gets at most 11 in any second where it bears 4 a second

  Scenario: All entries together stay below the budget of repeats
    Given 17 entries that repeat as often as they may, 5 requests a second each
    Then in any 10 s at most 0.2 a request and 62 besides are repeated

  Scenario Outline: How long work takes is known after few answers
    Given a service whose routes have an objective of <objective> ms
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
    Given a service whose routes have an objective of 800 ms
    When 20 of its answers take 300 ms each
    And 1 of its answers take 9000 ms each
    Then its work is expected to take between 300 and 315 ms

  Scenario Outline: What is left of a caller's time tells whether it tries again
    Given callers of a route that said <before> ms
    Then one that says <left> ms has waited <spent> ms before

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

  Scenario: What callers said long ago is forgotten
    Given callers of a route that said 4000, 4000 ms
    And 64 more that said another time each
    Then one that says 2400 ms has waited 0 ms before

  Scenario: A request that is late leaves a slot of each target to others
    Then these targets are no choice for one that is late
      | near | slots | running | work_ms |
      | yes  | 3     | 2       | 100     |
      | yes  | 6     | 5       | 100     |
      | yes  | 1     | 1       | 100     |
      | yes  | 3     | 0       | 2100    |
    And these are one, though the answer comes late
      | near | slots | running | work_ms |
      | yes  | 3     | 1       | 100     |
      | yes  | 6     | 4       | 100     |
      | yes  | 1     | 0       | 100     |
      | yes  | 3     | 0       | 900     |

  Scenario: Requests that can be in time wait before those that can't
    Given 6 requests that wait, late ones of rank 0 and others of rank 2 by turns
    Then those of rank 2 go first
    When the one that goes first has become late
    Then it goes behind those of rank 0
    And another one in time takes the place of the last, a late one does not

  Scenario: An entry that is not heard any more is soon not named to callers
    Given an entry that hears another one every 300 ms
    Then after 600 ms without it the other is named to callers
    And after 800 ms without it the other is not named to callers
    When it is heard again
    Then after 0 ms without it the other is named to callers

  Scenario Outline: Entries of a data centre tell few others what they run
    Given a data centre of <entries> entries
    Then each tells <told> others, and hears just those that tell it

    Examples:
      | entries | told |
      | 1       | 0    |
      | 6       | 5    |
      | 9       | 8    |
      | 48      | 8    |

  Scenario: An entry that is no peer any more does not count as silent
    Given a data centre of 48 entries
    When one that told the first and is no peer of it now is lost
    Then it is named to callers until control has dropped it

  Scenario: Who finds too many waiting takes no slot before them
    Given an entry at which as many requests wait as may, all in time
    When a slot is free for a request that is late, and one comes
    Then it is told at once that too many wait

  Scenario Outline: A target that says that it is fast is taken before others are asked
    Given 60 targets near an entry, each slowed five times for <slowed> in 100 of the time
    When 500 requests are placed, of which no two ask the same target in time
    Then at most <questions> questions were asked for a request
    And at most <slow> in 100 were sent to a target that was slowed then

    Examples:
      | slowed | questions | slow |
      | 0      | 1.2       | 0    |
      | 25     | 2.0       | 1    |
      | 35     | 2.5       | 1    |

  Scenario: Where all that were asked are slow, the next one is not sent to unasked
    Given 60 targets near an entry, each slowed five times for 100 in 100 of the time
    Then a request that can be in time finds no target

  Scenario: Where no target can be asked, one is sent to unasked
    Given 60 targets near an entry, each slowed five times for 100 in 100 of the time
    And nothing that they tell arrives
    Then a request that can be in time finds a target

  Scenario: A target that can't say how slow it is is not asked without a pause
    Given a target whose questions fail at once
    When the end of a request to it is kept back
    Then it was asked at most 25 times

  Scenario: Entries of a large data centre keep their connections in use
    When 45 entries send 2 requests a second each to 35 targets for 60 s
    Then less than 0.4 connections a request are opened
    And the busiest target gets at most 1.6 times the mean
