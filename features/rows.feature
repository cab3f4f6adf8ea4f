Feature: Rows of the state are found without scanning all of them

  Scenario: One of many backend servers stops and starts again
    Given rows of 500 backend servers
    When one of them stops and starts again at another address
    Then the rows of the others were not scanned
    And the rows show the new address

  Scenario: Rows are found by kind and name after random changes
    Given rows of 30 backend servers
    When 500 random changes are made to rows
    Then the rows found by kind and name are those that a scan finds
    And the same rows are found in the same order after saving and loading
