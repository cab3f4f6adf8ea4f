Feature: Histories of claims and quarantines

  Scenario: At most one run of a key in any history of claims
    When 1500 histories of claims are tried
    Then no key ran twice and no claim told an untruth

  Scenario: A crashing request in any history of sendings
    When 500 histories of a crashing request are tried
    Then it crashed one server more than had it at the first crash, at most
