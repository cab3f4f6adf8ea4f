@fixture.small
Feature: Callers get complete answers, and disconnecting cancels the request

  Scenario: A caller disconnects while its lookup runs
    Given the backend servers take 5000 ms
    When a caller sends a lookup of dossier and leaves while it runs
    Then within 2 s no backend server works any more

  Scenario: Backend servers close connections during their answers
    Given the backend servers take 5 ms
    And the answers of the backend servers are cut
    When 6 lookups of dossier are sent one after the other
    Then none of them was told that it was answered
