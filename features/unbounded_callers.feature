Feature: Callers that nobody controls don't exhaust a process

  Most callers of a crowd stop just short of the end of their body and keep the
  connection open.

  Scenario Outline: 24 callers send <load> to an entry
    Given a platform whose processes may use 128 MB
    When 24 callers send <load> to an entry
    Then an ordinary booking is answered
    And the process lives and has never used over 128 MB

    Examples: Bodies of legal length
      | load                                            |
      | 8 MB, announced, at once                        |
      | 8 MB, announced, piece by piece                 |
      | 7 MB in chunks of 1 MB                          |
      | 40 KB in chunks of 1 byte                       |

    Examples: Bodies far over the limit
      | load                                            |
      | 8 GB, announced, without end                    |
      | chunks of 1 MB without end                      |

  Scenario: 40 callers send chunks of 1 byte without end to an entry
    Given a platform whose processes may use 128 MB
    When 40 callers begin to send chunks of 1 byte without end to an entry
    Then an ordinary booking is answered
    And the process lives and has never used over 128 MB

  Scenario: A body of 64 MiB is served in calm by an entry with 152 MB
    Given a platform whose processes may use 152 MB and bodies of 64 MiB
    When a booking of 64 MiB is sent, with a length and then in chunks
    Then both are answered
    And the process lives and has never used over 152 MB

  Scenario Outline: 24 callers send <load> to a control VM
    Given a platform whose processes may use 128 MB
    When 24 callers send <load> to a control VM
    Then an ordinary heartbeat is answered by that VM
    And the process lives and has never used over 128 MB

    Examples:
      | load                                            |
      | 8 MB, announced, at once                        |
      | 8 MB, announced, piece by piece                 |
      | 7 MB in chunks of 1 MB                          |
      | 40 KB in chunks of 1 byte                       |
      | 8 GB, announced, without end                    |
      | chunks of 1 MB without end                      |

  Scenario: 40 callers send chunks of 1 byte without end to a control VM
    Given a platform whose processes may use 128 MB
    When 40 callers begin to send chunks of 1 byte without end to a control VM
    Then an ordinary heartbeat is answered by that VM
    And the process lives and has never used over 128 MB

  Scenario Outline: 24 callers send <load> to the <port> of an entry
    Given a platform whose processes may use 128 MB
    When 24 callers send <load> to the <port> of an entry
    Then an ordinary booking is answered
    And the process lives and has never used over 128 MB

    Examples:
      | load                     | port            |
      | 8 MB, announced, at once | directory       |
      | 7 MB in chunks of 1 MB   | directory       |
      | 8 MB, announced, at once | operators' port |

  Scenario Outline: 400 connections to <where> stay open with half a head
    Given a platform whose processes may use 128 MB and 300 descriptors
    When 400 connections are opened to <where>, each with half a head
    Then <ordinary>
    And the process lives and has at most 300 descriptors open

    Examples:
      | where        | ordinary                                      |
      | an entry     | an ordinary booking is answered               |
      | a control VM | an ordinary heartbeat is answered by that VM  |

  Scenario: 8 callers don't read answers of 8 MB
    Given a platform whose processes may use 128 MB
    And targets that answer lookups with 8 MB
    When 8 callers send 3 lookups each and read no answer
    Then an ordinary booking is answered
    And the process lives and has never used over 128 MB

  @fixture.small_buffers
  Scenario Outline: 24 callers send <load> to the product's entry
    When 24 callers send <load> to the product's entry
    Then an ordinary request with a body is answered by it
    And the process lives and has grown by at most 32 MB

    Examples:
      | load                             |
      | 1 MB, announced, at once         |
      | 1 MB, announced, piece by piece  |
      | 900 KB in chunks of 100 KB       |
      | 40 KB in chunks of 1 byte        |
      | 8 GB, announced, without end     |
      | chunks of 1 MB without end       |

  @fixture.small_buffers
  Scenario: 80 callers send bodies short by a byte to the product's entry
    When 80 callers send 64 KiB, announced, short by a byte to the product's entry
    Then an ordinary request with a body is answered by it
    And the process lives and has grown by at most 32 MB

  @fixture.small_buffers
  Scenario: 40 callers send chunks of 1 byte without end to the product's entry
    When 40 callers begin to send chunks of 1 byte without end to the product's entry
    Then an ordinary request with a body is answered by it
    And the process lives and has grown by at most 32 MB

  @fixture.small_buffers
  Scenario: 24 callers send long bodies to the operators' port of the product's entry
    When 24 callers send 8 MB, announced, at once to its operators' port
    Then an ordinary request with a body is answered by it
    And the process lives and has grown by at most 32 MB
