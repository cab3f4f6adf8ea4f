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

  Scenario: What would answer too late, or is full, is no choice but the last
    Then these targets are no choice unless late is better than never
      | near | slots | running | work_ms |
      | yes  | 3     | 3       | 100     |
      | yes  | 3     | 0       | 900     |

  Scenario: All entries together stay below the rate of a target in cold start
    Given 17 entries that each take all that they may from one target
    Then it gets at most 11 in any second where it bears 4 a second

  Scenario: All entries together stay below the budget of repeats
    Given 17 entries that repeat as often as they may, 5 requests a second each
    Then in any 10 s at most 0.2 a request and 62 besides are repeated
