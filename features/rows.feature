Feature: Rows of the state are found without looking through all of them

  Scenario: A backend server among many says farewell and comes back
    Given rows of 500 backend servers
    When one of them says farewell and starts anew at another address
    Then no row of others was looked at
    And the rows tell that it moved

  Scenario: Rows are found by their kind and name after any changes
    Given rows of 30 backend servers
    When 500 changes by chance are made to rows
    Then what is found by kind and name is what a look through all rows finds
    And it is the same in the same order where the rows were saved and loaded
