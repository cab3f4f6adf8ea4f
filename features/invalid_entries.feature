Feature: One invalid entry among those of the targets harms no other

  Scenario Outline: The platform's heartbeat with <what> is refused
    When a heartbeat comes with <what>
    Then it is refused with a reason
    And a heartbeat without fault is accepted

    Examples:
      | what                             |
      | port 99999                       |
      | port 0                           |
      | port 65536                       |
      | a port of other digits           |
      | a host of dots                   |
      | a host out of range              |
      | the address of no host           |
      | a multicast address              |
      | a number in place of the address |
      | slots of 1e400                   |
      | slots of 5000 digits             |
      | a start without end              |
      | a negative number                |
      | a cold start of 1e308            |
      | very deep nesting                |
      | a lone surrogate                 |
      | an instance with a line feed     |
      | an empty instance                |
      | no JSON                          |

  Scenario Outline: An announcement with <what> is refused
    When an announcement to the gateway comes with <what>
    Then it is refused with a reason
    When an announcement to an entry comes with <what>
    Then it is refused with a reason

    Examples:
      | what                             |
      | port 99999                       |
      | a host of dots                   |
      | the address of no host           |
      | a number in place of the address |
      | slots of 1e400                   |
      | slots of 5000 digits             |
      | very deep nesting                |
      | a lone surrogate                 |
      | no JSON                          |

  Scenario Outline: A row with <what> is left out, the others hold
    Given an entry with routes for lookups and bookings
    And 1 target
    When the control group sends rows with <what>
    Then the entry uses only its other target
    And 10 lookups are answered completely

    Examples:
      | what                           |
      | port 99999                     |
      | port 0                         |
      | a host of dots                 |
      | a host out of range            |
      | an address without a port      |
      | an instance with a line feed   |
      | a crash that is no hash        |
      | an entry whose id is no number |

  Scenario: A row that becomes invalid is no longer used
    Given an entry with routes for lookups and bookings
    And 2 targets
    When the row of the first target changes to an instance with a line feed
    Then the entry uses only its other target

  Scenario Outline: A connection to <address> fails, and nothing else
    When a platform's entry connects to "<address>"
    Then it is told that there is no connection
    When the product's pool sends a request to "<address>"
    Then it is told that nothing was sent

    Examples:
      | address           |
      | 127.0.0.1:99999   |
      | 127.0.0.1:-1      |
      | ...:80            |
      | nowhere           |
      | 127.0.0.1:80000000000000000000 |

  Scenario Outline: A settings file with <what> is refused with a reason
    When the platform's settings file has <what>
    Then it is refused with a reason
    And early listening does without it

    Examples:
      | what               |
      | very deep nesting  |
      | no JSON            |
      | a number in place of all |

  Scenario Outline: A datagram with <what> is ignored
    Given an entry with routes for lookups and bookings
    When a datagram with <what> reaches the entry
    Then the counts of its peers are those of a datagram without fault

    Examples:
      | what                      |
      | very deep nesting         |
      | a count of 1e400          |
      | a count that is a text    |
      | a sequence that is a list |
      | bytes that are no text    |
