@fixture.long_bodies
Feature: Long bodies arrive complete or visibly truncated, in bounded memory

  Scenario Outline: A long answer arrives complete <path>, <framing>
    When a caller fetches 50 MB of dossier <path>, <framing>
    Then it got the complete answer

    Examples:
      | path                     | framing       |
      | from the owner           | with a length |
      | from the owner           | in chunks     |
      | through another entry    | with a length |
      | through another entry    | in chunks     |

  Scenario Outline: A backend server truncates a long answer <path>, <framing>
    When a caller fetches 8 MB of dossier <path>, <framing>, truncated after 4 MB
    Then it detects that the answer is incomplete
    And dossier has all of its slots free within 3 s

    Examples:
      | path                     | framing       |
      | from the owner           | with a length |
      | from the owner           | in chunks     |
      | through another entry    | with a length |
      | through another entry    | in chunks     |

  Scenario Outline: A booking with a long answer, <end>
    When a booking "<key>" of keepsake is answered with 8 MB, <end>
    Then a retry of "<key>" is answered as unknown, with "<words>"
    And the backend servers ran "<key>" 1 time

    Examples:
      | end                    | key    | words               |
      | complete               | k-all  | ran to its end      |
      | truncated after 4 MB   | k-cut  | its answer was lost |
      | its caller disconnects | k-gone | ran to its end      |

  Scenario: A caller that stops reading
    When a caller with a deadline of 2000 ms stops reading 60 MB of dossier
    Then its slot was in use while the backend server was writing
    And dossier has all of its slots free within 3 s
    And it detects that the answer is incomplete

  Scenario: More streams than an entry may buffer at a time
    When 100 slow callers fetch 1 MB of dossier each, through both entries
    Then each of them got the complete answer
    And no entry buffers bytes of bodies any more

  Scenario: A caller gets the answer of a backend server without processor time
    Given connections to the backend servers of dossier have been used
    When dossier takes 1500 ms to answer
    And a caller fetches 1 MB of dossier from the owner, with a length
    Then it got the complete answer
    When a caller fetches 1 MB of dossier through another entry, with a length
    Then it got the complete answer
    And dossier answers at once again

  Scenario: Many slow callers of long answers
    When 40 slow callers fetch 20 MB of dossier each, through both entries
    Then each of them got the complete answer
    And no entry has grown by more than 32 MB
    And no entry buffers bytes of bodies any more

  Scenario: More bytes of requests than an entry may buffer
    When 10 callers send half of a request of 1 MB each
    Then a request of 1 MB is refused as not run, with a remedy
    And one that is still being sent gets the same answer
    And a retry of a booking with 1 MB is refused as unknown
    And a lookup without a body is answered
    And a request of 1 MB is answered once those callers have disconnected

  Scenario: Too many connections of one caller
    When one caller opens 100 connections to an entry
    Then one more is refused as not run, with a remedy
    And another one is served once they are closed

  Scenario: The forwarding entry is killed during a long answer
    When a caller slowly fetches 20 MB of dossier through another entry
    And that other entry is killed during the answer
    Then it detects that the answer is incomplete
    And dossier has all of its slots free within 3 s
