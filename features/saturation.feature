Feature: Targets that slow down when nearly full are not filled

  Scenario Outline: Nearly as much is asked for as targets can do
    Given 12 targets of another data centre, of <slots> slots, whose work takes <factor> times as long when nearly full
    When <rate> requests a second come for 30 s, each of 220 ms and of use within 600 ms
    Then at least <least> in 100 are answered in time

    Examples:
      | slots | factor | rate | least |
      | 3     | 1.7    | 100  | 95    |
      | 6     | 1.7    | 200  | 95    |
      | 3     | 1.0    | 140  | 95    |

  Scenario Outline: What answers tell of targets that are nearly full
    When answers of targets that are nearly full take <factor> times as long
    Then <useful> of <slots> slots are worth using
    And after 30 s without any all <slots> are tried again

    Examples:
      | factor | slots | useful |
      | 1.7    | 3     | 2      |
      | 1.1    | 3     | 3      |
      | 1.7    | 6     | 4      |
      | 1.2    | 6     | 6      |
      | 1.7    | 1     | 1      |

  Scenario: A target that said a moment ago that it is full has no room
    Given a target of 3 slots that said that 3 requests run there
    When 20 ms have passed
    Then no request that can wait is sent to it

  Scenario: Targets in cold start are not worth a wait for one that is near
    Given a target of 3 slots that said that 0 requests run there
    When it falls into cold start
    Then the entry does not wait for a target that is near

  Scenario: What an entry has sent since, or got an answer to, counts at once
    Given a target of 3 slots that said that 2 requests run there
    When the entry sends it a request
    Then no request that can wait is sent to it
    When that request has ended
    Then a request that can be in time is sent to it
