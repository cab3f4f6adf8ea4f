@fixture.small_relayed
Feature: A request that crashes backend servers is quarantined

  Background:
    Given backend servers that take 5 ms

  Scenario: The request is sent repeatedly, through all entries in turn
    When a crashing lookup "a" is sent 12 times through all entries in turn
    Then it crashed at most 2 backend servers
    And it is refused as not run by every entry
    And other lookups are answered

  Scenario: The request is sent through all entries at the same time
    When a crashing lookup "b" is sent 4 times through all entries at once
    Then it crashed at most 4 backend servers
    And it is refused as not run by every entry

  Scenario: The request is not idempotent and has a new key each time
    When a crashing booking "c" is sent 9 times with new keys
    Then it crashed at most 2 backend servers
    And it is refused as not run by every entry

  Scenario: An operator lifts the quarantine
    When a crashing lookup "d" is sent 4 times through all entries in turn
    And an operator lifts every quarantine
    And a crashing lookup "d" is sent 1 time through all entries in turn
    Then it crashed at most 4 backend servers
    But it crashed at least 3 backend servers

  Scenario: Servers crash for other reasons while requests are in flight
    Given backend servers that take 100 ms
    When 20 lookups are sent repeatedly while servers crash 4 times
    Then none of these lookups is in quarantine

  Scenario: The network breaks connections
    When connections to backend servers break 60 times during 10 lookups
    Then none of these lookups is in quarantine 40 seconds later
