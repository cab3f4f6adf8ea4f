@fixture.long_bodies
Feature: Long bodies pass through whole, or are seen to be cut, in bounded memory

  Scenario Outline: A long answer arrives whole <path>, <framing>
    When a caller fetches 50 MB of dossier <path>, <framing>
    Then it got the whole answer

    Examples:
      | path                     | framing       |
      | from the owner           | with a length |
      | from the owner           | in chunks     |
      | through another entry    | with a length |
      | through another entry    | in chunks     |

  Scenario Outline: A backend server cuts a long answer <path>, <framing>
    When a caller fetches 8 MB of dossier <path>, <framing>, cut after 4 MB
    Then it sees that the answer is not whole
    And dossier has all of its slots free within 3 s

    Examples:
      | path                     | framing       |
      | from the owner           | with a length |
      | from the owner           | in chunks     |
      | through another entry    | with a length |
      | through another entry    | in chunks     |

  Scenario Outline: A booking whose answer is long, <end>
    When a booking "<key>" of keepsake is answered with 8 MB, <end>
    Then a repeat of "<key>" is told that it is unknown, with "<words>"
    And the backend servers ran "<key>" 1 time

    Examples:
      | end              | key   | words               |
      | whole            | k-all | ran to its end      |
      | cut after 4 MB   | k-cut | its answer was lost |
      | its caller leaves | k-gone | ran to its end     |

  Scenario: A caller that stops reading
    When a caller with a deadline of 2000 ms stops reading 60 MB of dossier
    Then its slot was taken for as long as the backend server wrote
    And dossier has all of its slots free within 3 s
    And it sees that the answer is not whole

  Scenario: More streams than an entry may hold at a time
    When 100 slow callers fetch 1 MB of dossier each, through both entries
    Then each of them got the whole answer
    And no entry holds bytes of bodies any more

  Scenario: A backend server without processor time is waited for
    Given connections to the backend servers of dossier have been used
    When dossier takes 1500 ms to answer
    And a caller fetches 1 MB of dossier from the owner, with a length
    Then it got the whole answer
    When a caller fetches 1 MB of dossier through another entry, with a length
    Then it got the whole answer
    And dossier answers at once again

  Scenario: Many slow callers of long answers
    When 40 slow callers fetch 20 MB of dossier each, through both entries
    Then each of them got the whole answer
    And no entry has grown by more than 32 MB
    And no entry holds bytes of bodies any more

  Scenario: More bytes of requests than an entry may hold
    When 10 callers send half of a request of 1 MB each
    Then a request of 1 MB is refused as not run, with a remedy
    And one that is still being sent gets the same answer unharmed
    And the same as a repeat of a booking is refused as unknown
    And a lookup without a body is answered
    And a request of 1 MB is answered once those callers have left

  Scenario: Too many connections of one caller
    When one caller opens 100 connections to an entry
    Then one more is refused as not run, with a remedy
    And another one is served once they are closed

  Scenario: The entry in between dies in the middle of a long answer
    When a caller slowly fetches 20 MB of dossier through another entry
    And that other entry is killed in the middle
    Then it sees that the answer is not whole
    And dossier has all of its slots free within 3 s
