@fixture.small
Feature: Callers get complete answers, and disconnecting cancels the request

  Scenario: A caller disconnects while its lookup runs
    Given the backend servers take 5000 ms
    When a caller sends a lookup of dossier and disconnects while it runs
    Then within 2 s no backend server runs a request

  Scenario: Backend servers close connections during their answers
    Given the backend servers take 5 ms
    And the backend servers truncate their answers
    When 6 lookups of dossier are sent one after the other
    Then none of them got the outcome answered
