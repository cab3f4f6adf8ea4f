Feature: Settings are JSON with comments

  Scenario: Every text reads as the library for JSON with comments reads it
    Then no text of JSON, quotes and comments reads differently

  Scenario: A large text with comments does not need the slow library
    When a text of 300 services with comments is read
    Then the library for JSON with comments was not called
