Feature: Bytes without end are cut off, and harm no other request

  Scenario Outline: A target sends <what> without end
    Given an entry with routes for lookups and bookings
    And a target that sends <what> without end
    When a booking is sent
    Then its status is 502
    And the target could write at most 16 MB
    And the entry's event loop was never blocked for as long as a route's timeout
    Given 1 target
    Then 5 lookups are answered completely

    Examples:
      | what                      |
      | a header value            |
      | a header name             |
      | a reason phrase           |
      | interim answers           |
      | a chunk extension         |
      | a trailer                 |
      | answers to other requests |

  Scenario Outline: Answers with <what> without end share the memory for answers
    Given an entry whose answers may take 2 MB in all
    And a target that sends <what> without end
    When 8 bookings are sent at once
    Then each of them ends with status 502
    And the target could write at most 16 MB
    And the entry's event loop was never blocked for as long as a route's timeout

    Examples:
      | what                    |
      | a body in chunks        |
      | a body without a length |

  Scenario Outline: A backend server sends <what> without end to the product's entry
    Given a backend server that sends <what> without end
    When an entry sends it a request
    Then the request may have run and has no answer
    And the target could write at most 16 MB

    Examples:
      | what                      |
      | a header value            |
      | a header name             |
      | a reason phrase           |
      | interim answers           |
      | a chunk extension         |
      | answers to other requests |

  Scenario Outline: A caller sends <what> without end
    Given an entry with routes for lookups and bookings
    And 1 target
    When a caller sends <what> without end
    Then the entry has ended the connection after at most 24 MB
    Then 5 lookups are answered completely

    Examples:
      | what              |
      | a path            |
      | a header value    |
      | a header name     |
      | a chunk extension |
      | a trailer         |
      | blank lines       |

  # Guards against parts of a body that take many times the memory of its bytes.
  Scenario: An answer in chunks of two bytes takes the memory of its bytes
    Given an entry whose answers may take 1 MB in all
    And a timeout of 20000 ms
    And a target that sends a body in tiny chunks without end
    When 1 bookings are sent at once
    Then each of them ends with status 502
    And the process grew by at most 16 MB

  Scenario: A request in chunks of two bytes takes the memory of its bytes
    Given an entry whose requests may have bodies of 2 MB
    And 1 target
    When a caller sends a body in tiny chunks without end
    Then the entry has ended the connection after at most 24 MB
    And the process grew by at most 16 MB
