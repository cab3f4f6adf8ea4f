@fixture.small
Feature: A refused connection is told as "not run"

  Scenario: No backend server takes connections
    When all backend servers are killed and 30 requests of each kind sent
    Then at least 50 of them were told "not-run"
