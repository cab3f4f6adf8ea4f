Feature: What is no answer of the protocol counts as broken at its first line

  Scenario Outline: A target begins its answers with <line>
    Given an entry with routes for lookups and bookings
    And a target whose answers to requests begin with <line>
    When a booking is sent
    Then its status is 502
    And it took less than half of its route's timeout
    And the target saw the end of the connection
    Given 1 target
    Then 8 lookups are answered completely

    Examples: Status
      | line           |
      | HTTP/1.1 000 X |
      | HTTP/1.1 000   |
      | HTTP/1.1 001 X |
      | HTTP/1.1 099 X |
      | HTTP/1.1 600 X |
      | HTTP/1.1 999   |
      | HTTP/1.1 20 X  |
      | HTTP/1.1 2000  |
      | HTTP/1.1 -20 X |
      | HTTP/1.1 2e2 X |

    Examples: Version
      | line           |
      | HTTP/2.0 200 X |
      | HTTP/0.9 200 X |
      | HTTP/1.2 200 X |

  Scenario Outline: A lookup that is answered with <line> goes to another target
    Given an entry with routes for lookups and bookings
    And a target whose answers to requests begin with <line>
    And 1 target
    When more lookups are sent at once than the second target has slots
    Then all are answered, though the first target has seen some
    And the target saw the end of the connection

    Examples:
      | line           |
      | HTTP/1.1 000   |
      | HTTP/1.1 600 X |

  Scenario Outline: The second answer on a connection begins with <line>
    Given an entry with routes for lookups and bookings
    And a target whose second answer on a connection begins with <line>
    When a booking is sent
    Then its status is 200
    When a booking is sent
    Then its status is 502
    And the target saw the end of the connection

    Examples:
      | line           |
      | HTTP/1.1 000   |
      | HTTP/1.1 600 X |

  Scenario Outline: Bytes behind an answer with <status>, which has no body, belong to no request
    Given an entry with routes for lookups and bookings
    And a target that answers requests with <status> and a body
    When a booking is sent
    Then its status is <status>
    When a booking is sent
    Then its status is <status>
    And each request came on a connection of its own

    Examples:
      | status |
      | 204    |
      | 304    |

  Scenario Outline: A target sends only the line <line>, and a promise
    Given an entry with routes for lookups and bookings
    And a target that answers requests with <line>, <header> and no end
    When a booking is sent
    Then its status is 502
    And it took less than half of its route's timeout

    Examples:
      | line           | header            |
      | HTTP/1.1 000 X | Not-Executed: 1   |
      | HTTP/1.1 600 X | Not-Executed: 1   |
      | HTTP/1.1 099   | Retry-After: 1    |
      | HTTP/1.1 999 X | Server-Leaving: 1 |

  Scenario Outline: A target answers questions for its load with <line>
    Given an entry with routes for lookups and bookings
    And a target whose health answers begin with <line>
    When its load is asked
    Then the question is over before its time-out, and the load is not known

    Examples:
      | line           |
      | HTTP/1.1 000 X |
      | HTTP/1.1 600 X |

  Scenario Outline: A backend server begins its answers to the product's entry with <line>
    Given a backend server whose answers begin with <line>
    When an entry asks it
    Then the request may have run and was not answered
    And it took less than half of its deadline

    Examples:
      | line           |
      | HTTP/1.1 000 X |
      | HTTP/1.1 600 X |
      | HTTP/2.0 200 X |
