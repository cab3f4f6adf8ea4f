Feature: A planned stop of a gateway cuts off no request that it has accepted

  Scenario Outline: <sent> was sent when the stop begins
    Given an entry that takes new connections for 1000 ms while it stops
    And routes for lookups and bookings, and 2 targets
    When <sent> was sent on each of 8 connections
    And the entry is stopped, and after 50 ms the rest is sent
    Then every request is answered completely
    And each connection ends after its last answer
    And the stop aborted no request

    Examples:
      | sent                                  |
      | nothing                               |
      | half a request line                   |
      | half a header                         |
      | the head of a booking                 |
      | half the body of a booking            |
      | a lookup                              |
      | a lookup and half of a second one     |
      | a booking and a second one            |

  Scenario: Callers that connect while the entry stops are served
    Given an entry that takes new connections for 1000 ms while it stops
    And routes for lookups and bookings, and 2 targets
    When callers connect and send every 20 ms while the entry is stopped
    Then each of their requests is answered completely or reached no entry
    And the stop aborted no request

  # Guards against requests that are taken until the stop ends, and cut then.
  Scenario: Callers that never wait for their answers while the entry stops
    Given an entry that takes new connections for 300 ms while it stops
    And routes for lookups and bookings, and 3 targets
    And each request takes 400 ms
    When 4 callers send a lookup every 50 ms until they are cut off while the entry is stopped
    Then each request that reached a target is answered completely
    And no request reached a target later than 1500 ms after the stop began
    And the stop aborted no request

  # Guards against connections that end without a word when the stop ends.
  Scenario Outline: <Requests> whose target never answers when the stop ends
    Given an entry that takes new connections for 300 ms while it stops
    And routes with a timeout of 20000 ms, and 1 target that never answers
    When a <request> was sent on each of 3 connections, and the entry is stopped
    Then each connection gets a last answer with status 502

    Examples:
      | Requests | request |
      | Lookups  | lookup  |
      | Bookings | booking |

  Scenario: An answer that waits behind one that never comes is not lost
    Given an entry that takes new connections for 300 ms while it stops
    And routes with a timeout of 20000 ms, and 1 target whose first answer never comes
    When a caller has sent 2 lookups at once, and the entry is stopped
    Then the caller gets answers with status 502 and 200

  Scenario: A request that is still incomplete when the stop takes no more
    Given an entry that takes new connections for 300 ms while it stops
    And routes for lookups and bookings, and 1 targets
    When half the body of a booking was sent on each of 2 connections
    And the entry is stopped, and after 1500 ms the rest is sent
    Then each connection gets a last answer with status 503
    And no target received a request

  # Guards against connections that are reset since they wait to be accepted.
  Scenario: Callers wait to be accepted when the entry stops to listen
    Given an entry that takes new connections for 0 ms while it stops
    And routes for lookups and bookings, and 4 targets
    When 30 callers connect and send while the entry is busy, and it stops then
    Then every one of them gets an answer
