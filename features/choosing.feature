Feature: Which target gets the next request

  Scenario Outline: No other way to choose does better, whatever fails
    When each way to choose serves <deployment> with <fault>
    Then ownership never overruns a warm target
    And ownership has the least 99th percentile, or 10 % more at most
    And ownership loses no more requests than any other
    And ownership sends no message to measure load

    Examples:
      | deployment       | fault      |
      | ar-gwenn-skouarn | slowdowns  |
      | ar-gwenn-skouarn | fail fast  |
      | ar-gwenn-skouarn | lies       |
      | cart-commons     | neighbours |

  Scenario: A target that fails fast wins no work and is tried again
    Given two targets, one of which fails fast
    When 500 pairs of requests are given to them
    Then the failing one got fewer than 20 of them
    When it serves again for 3000 ms
    Then it gets its share
