Feature: Limits of client accounts hold over all entries

  Scenario: No window of any play exceeds the bound
    When 40 plays of 142 entries are played, with a fault and a rush of 9 times
    Then no window of 5 s exceeds the bound
    And at least 0.98 of what was below the limit was admitted

  Scenario: A play with faults at the keeper of the account
    When 20 plays are played whose fault hits the keeper
    Then no window of 5 s exceeds the bound

  Scenario: With few entries an account far from its limit costs no message
    Then an account below 0.05 of its limit costs no message at 3 entries

  Scenario: Beyond its limit an account is answered 429, until Retry-After
    Given an entry with an account of 1 request a second and a burst of 4
    And 1 target
    When 8 lookups of the account are sent at once
    Then 4 are answered 200, and 4 with 429 and a Retry-After of 0.5 s or more
    When the longest Retry-After is over
    And 1 lookups of the account are sent at once
    Then 1 are answered 200, and 0 with 429 and a Retry-After of 0.5 s or more

  Scenario Outline: A request that <end> is <counted>
    Given an entry with an account of 1 request a second and a burst of 4
    And 1 target
    And every request at any target ends with "<behaviour>"
    When 4 lookups of the account are sent at once
    And every request at any target ends with "ok"
    And 4 lookups of the account are sent at once
    Then <served> are answered 200, and <refused> with 429 and a Retry-After of 0.5 s or more

    Examples:
      | end                        | counted     | behaviour | served | refused |
      | no target had room for     | not counted | full      | 4      | 0       |
      | ran and failed             | counted     | error     | 0      | 4       |

  Scenario: A lower limit is in force with its routes
    Given an entry with an account of 1 request a second and a burst of 4
    And 1 target
    When the burst of the account is lowered to 1
    And 4 lookups of the account are sent at once
    Then 1 are answered 200, and 3 with 429 and a Retry-After of 0.5 s or more

  @fixture.platform
  Scenario: Two entries count the requests of an account together
    When an account of 10 requests a second sends 300 requests to both entries
    Then its targets ran between 30 and 86 of them, and 429 answered the others

  Scenario Outline: What a keeper has left goes with its account, whoever hears of it first
    Given an account that one of three entries keeps, used once
    When that entry leaves, and the <first> learns it first
    Then the next keeper grants 3 requests at once

    Examples:
      | first       |
      | next keeper |
      | former one  |
