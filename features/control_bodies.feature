Feature: Bodies that a control VM decodes stay within its memory

  # Guards against a heartbeat of another writer whose decoding took 30 times its
  # length, and ended each control VM that it was sent to.
  Scenario Outline: Another writer sends <what> of 12 MB
    Given control VMs with 296 MB of memory, and a backend server
    When another writer sends <what> of 12 MB to each control VM, <how>
    Then each of them is answered 413
    And every heartbeat of the backend server is answered 200 within 1000 ms
    And no control VM has ended, lost its leadership or used more than 120 MB

    Examples:
      | what                     | how       |
      | a heartbeat              | announced |
      | a heartbeat              | in chunks |
      | an evacuation            | announced |
      | a roll-out               | announced |
      | a removal                | announced |
      | a read                   | announced |
      | a request without a kind | announced |
      | a configuration          | announced |
      | a configuration          | in chunks |

  # Guards against texts of legal length whose errors, copies or decoded form
  # take many times their length.
  Scenario Outline: A configuration as long as allowed consists of <what>
    Given control VMs with 296 MB of memory, and a backend server
    When 10 operators at a time send a configuration of <what> to each control VM
    Then each of them is answered 400 within 4000 ms
    And every heartbeat of the backend server is answered 200 within 1000 ms
    And no control VM has ended, lost its leadership or used more than 200 MB

    Examples:
      | what                        |
      | rows without a field        |
      | rows without a value        |
      | one row of empty objects    |
      | one row of small objects    |
      | one row of numbers          |
      | parts without a field       |
      | columns of one letter       |
      | a version of a million digits |
      | lists in each other         |

  Scenario: Operators whose configuration never ends leave room for others
    Given control VMs with 296 MB of memory, and a backend server
    When 10 operators at a time send all but a byte of a configuration to each control VM
    Then every heartbeat of the backend server is answered 200 within 1000 ms
    And a configuration of 1836 routes is accepted within 4000 ms
    And no control VM has ended, lost its leadership or used more than 296 MB

  Scenario: The longest configuration is accepted, and the leader stays
    Given control VMs with 296 MB of memory, and a backend server
    When the operator sends a configuration of 12000 routes
    Then it is accepted within 4000 ms
    And every heartbeat of the backend server is answered 200 within 1000 ms
    And no control VM has ended, lost its leadership or used more than 200 MB

  # Guards against elections and heartbeats that wait for a long text.
  Scenario: A long configuration is checked in many turns of the event loop
    When a configuration of 12000 routes is checked
    Then other tasks ran at least 20 times meanwhile

  Scenario Outline: A configuration with <what> can't be read
    When a configuration with <what> is parsed
    Then it is refused in less than 700 characters

    Examples:
      | what                         |
      | a version of 17 digits       |
      | a version beyond 64 bits     |
      | a version below 0            |
      | an unknown field 500 deep    |
      | a row that is an object      |
      | a service named by 1 MB      |
