Feature: The relay that injects faults cleans up

  Scenario: A relay is closed while connections are open, silent and delayed
    Given a relay to a server, with connections that are open, silent and delayed
    When the relay is closed
    Then none of its tasks runs, and its port is free
