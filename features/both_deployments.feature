Feature: Both deployments at their current sizes

  @fixture.ar_gwenn_skouarn
  Scenario: Ar Gwenn Skouarn with 17 entries and 36 targets
    When 200 callers each look up a path of their own in dossier
    Then each got the complete answer to its own request
    When a booking with key "urn-1" is sent to keepsake through each entry
    Then all of them got the same answer
    And the backend servers ran "urn-1" 1 time
    And no backend server ran more requests than its limit

  @fixture.cart_commons
  Scenario: Cart Commons with 17 entries and 36 targets
    When 200 callers each look up a path of their own in stockboard
    Then each got the complete answer to its own request
    When a booking with key "fee-1" is sent to feedesk through each entry
    Then all of them got the same answer
    And the backend servers ran "fee-1" 1 time
    And no backend server ran more requests than its limit
