Feature: Random histories of claims and quarantines

  Scenario: A key runs at most once in any history of claims
    When 1500 histories of claims are tried
    Then no key ran twice and no claim had a wrong result

  Scenario: A crashing request crashes few servers in any history of attempts
    When 500 histories of a crashing request are tried
    Then it crashed at most one more server than ran it at the first crash
