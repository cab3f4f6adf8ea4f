@fixture.small
Feature: The whole path from a caller to a backend server and back

  Scenario: A lookup gets the whole answer to its own request
    When 20 callers each look up a path of their own in dossier
    Then each got the whole answer to its own request

  Scenario: A booking runs once however often it is sent
    When a booking with key "booking-1" is sent to creneau through each entry
    Then every one of them was answered alike
    And the backend servers ran "booking-1" 1 time

  Scenario: A booking without a key is refused as not run
    When a booking without a key is sent to creneau
    Then it ended as "not-run" with status 400
    And the message names "Idempotency-Key"

  Scenario: A service that is not in the settings is refused as not run
    When a lookup is sent to unknown
    Then it ended as "not-run" with status 404
