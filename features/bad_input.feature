@fixture.small
Feature: Bad input is refused with a remedy and affects nothing else

  Scenario Outline: A caller sends <input>
    Given the backend servers' record is empty
    When the bytes of <input> are sent by a caller
    Then the request is refused as not run, with status <status> and a remedy
    And no backend server ran anything
    And the entry still answers a lookup

    Examples:
      | input                           | status |
      | no HTTP                         | 400    |
      | an unknown method               | 400    |
      | a control character in the path | 400    |
      | a bare line feed in a header    | 400    |
      | an oversized header             | 431    |
      | a header value without end      | 431    |
      | a header name without end       | 431    |
      | a chunk extension without end   | 431    |
      | too many headers                | 431    |
      | an oversized path               | 431    |
      | an oversized body               | 413    |
      | two lengths                     | 400    |
      | a length and chunks             | 400    |
      | an unknown transfer coding      | 400    |
      | a coding before chunked         | 400    |
      | the same length twice           | 400    |
      | a folded header                 | 400    |
      | a malformed deadline            | 400    |
      | a negative deadline             | 400    |
      | a malformed depth               | 400    |
      | an oversized key                | 400    |
      | a key with a space              | 400    |
      | no service                      | 404    |
      | an encoded slash in the service | 404    |
      | an encoded service              | 404    |
      | an encoded dot in the service   | 404    |
      | an encoded interface name       | 404    |

  Scenario Outline: A refused request does not answer for the one before it
    Given backend servers that take 500 ms
    When a lookup is sent by a caller, and <input> on the same connection
    Then the lookup was not refused
    Given backend servers that take 40 ms
    Then the entry still answers a lookup

    Examples:
      | input                         |
      | a header value without end    |
      | a chunk extension without end |
      | an unknown transfer coding    |

  Scenario: A caller sends half a header
    Given the backend servers' record is empty
    When only the bytes "GET /v1/call/dossier/a HTTP/1.1\r\nX-Sl" are sent by a caller
    Then the request is refused as not run, with status 408 and a remedy
    And the refusal took less than 12 s
    And no backend server ran anything
    And the entry still answers a lookup

  Scenario: A caller sends half a body
    Given the backend servers' record is empty
    When a caller sends only part of a body
    Then the request is refused as not run, with status 408 and a remedy
    And the refusal took less than 12 s
    And no backend server ran anything
    And the entry still answers a lookup

  Scenario Outline: A backend server sends a wrong announcement
    When a backend server announces <text>
    Then the announcement is refused with status <status> and a remedy
    And the entry still answers a lookup

    Examples:
      | text                                                                                                       | status |
      | no JSON                                                                                                    | 400    |
      | []                                                                                                         | 400    |
      | {"service": "dossier", "address": "10.0.0.1:1", "data_centre": "brest", "slots": 0, "instance": "a"}       | 400    |
      | {"service": "dossier", "address": "10.0.0.1:1", "data_centre": "brest", "slots": 5000, "instance": "a"}    | 400    |
      | {"service": "dossier", "address": "some name", "data_centre": "brest", "slots": 3, "instance": "a"}        | 400    |
      | {"service": "nowhere", "address": "10.0.0.1:1", "data_centre": "brest", "slots": 3, "instance": "a"}       | 404    |

  Scenario: A target announces itself for another service
    When a target of creneau announces itself for dossier
    Then the announcement is refused with status 409 and a remedy
    And the entry still answers a lookup

  Scenario: Targets announce more slots than the settings give them
    Given the targets of dossier announce 900 slots
    When 60 callers each look up a path of their own in dossier
    Then no backend server ran more requests than its limit
