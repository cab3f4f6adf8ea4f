Feature: Who waits, is refused or closed when a process may hold no more

  Scenario: Who held most for longest goes first, and no more than needed
    Given connections that hold
      | name   | bytes   | still for ms |
      | long   | 8000000 | 2000         |
      | longer | 8000000 | 5000         |
      | short  | 4000    | 60000        |
      | moving | 9000000 | 900          |
    When 9000000 bytes are missing
    Then longer, long are ended
    When 5000 bytes are missing
    Then longer are ended
    When 17000000 bytes are missing
    Then none are ended

  Scenario: A byte now and then is no progress
    Given a caller that sends 1 byte every 500 ms
    Then after 10000 ms it has stood still for over 9000 ms
    Given a caller that sends 125000 bytes every 500 ms
    Then after 10000 ms it has stood still for at most 500 ms

  Scenario: Long bodies leave room for short ones
    Given a budget of 80000000 bytes
    Then a body of 67108864 bytes may fill it up to 70000000 bytes
    And a body of 65536 bytes may fill it up to 75200000 bytes

  Scenario Outline: The limits of a VM of <memory> MB and <descriptors> descriptors
    Given a process that takes <idle> MB without callers
    Then on a VM of <memory> MB it may hold a body of 64 MiB
    And of <descriptors> descriptors callers may use <callers>, another port <other>

    Examples:
      | memory | idle | descriptors | callers | other |
      | 152    | 40   | 1535        | 667     | 83    |
      | 300    | 50   | 4100        | 1950    | 243   |

  Scenario: Costly bytes of one connection are parsed in slices, in turn with others
    Given connections a and b that take turns
    When 20000 bytes with a call for every byte come on a
    And 20000 bytes with a call for every byte come on b
    Then no turn parses over 2048 bytes, and each connection gets every second turn
    And both are read again once all is parsed

  Scenario: Cheap bytes are parsed at once
    Given connections a and b that take turns
    When 200000 bytes with a call for every 60000 bytes come on a
    Then all bytes of a are parsed at once

  Scenario: A long body grows without a copy and keeps its bytes
    When a body of 3000000 bytes comes in parts of 70001 bytes
    Then it is whole
    When a body of 3000000 bytes comes in parts of 7 bytes
    Then it is whole
