Feature: Selection of the target of a request

  Scenario Outline: Ownership does at least as well as other selection algorithms
    When each selection algorithm serves <deployment> with <fault>
    Then ownership never overruns a warm target
    And ownership has the lowest 99th percentile, or at most 10 % more
    And ownership loses no more requests than any other
    And ownership sends no messages to measure load

    Examples:
      | deployment       | fault      |
      | ar-gwenn-skouarn | slowdowns  |
      | ar-gwenn-skouarn | fail fast  |
      | ar-gwenn-skouarn | lies       |
      | cart-commons     | neighbours |

  Scenario: A target that fails fast attracts no requests and is probed again
    Given two targets, one of which fails fast
    When 500 pairs of requests are sent to them
    Then the failing one got fewer than 20 of them
    When it recovers and serves requests for 3000 ms
    Then it gets at least half of an equal share
