Feature: Saturation of targets that slow down when nearly full

  Scenario Outline: The load is close to the capacity of the targets
    Given 12 targets of another data centre with <slots> slots, whose work takes <factor> times as long when nearly full
    When <rate> requests a second arrive for 30 s, each of 220 ms and useful within 600 ms
    Then at least <least> in 100 are answered in time

    Examples:
      | slots | factor | rate | least |
      | 3     | 1.7    | 100  | 95    |
      | 6     | 1.7    | 200  | 95    |
      | 3     | 1.0    | 140  | 95    |

  Scenario Outline: A route of <short> ms and one of <long> ms share full targets
    Given 4 targets with 3 slots that serve two routes
    And requests of the short route take <work> ms and are useful within <short> ms
    And requests of the long route take <much> ms and are useful within <long> ms
    When the two routes use <part> in 100 of the slots for 60 s, the short one a fifth of it
    Then at least <least> in 100 requests of the short route are answered in time
    And at least <least> in 100 requests of the long route are answered in time
    And no request is given up while it can still be answered in time

    Examples:
      | short | work | long | much | part | least |
      | 200   | 64   | 1000 | 400  | 70   | 90    |
      | 200   | 80   | 1000 | 300  | 70   | 90    |
      | 400   | 160  | 600  | 220  | 70   | 90    |

  Scenario Outline: The slowdown is estimated from answers of nearly full targets
    When answers of targets that are nearly full take <factor> times as long
    Then <useful> of <slots> slots are useful
    And after 30 s without answers all <slots> are used again

    Examples:
      | factor | slots | useful |
      | 1.7    | 3     | 2      |
      | 1.1    | 3     | 3      |
      | 1.7    | 6     | 4      |
      | 1.2    | 6     | 6      |
      | 1.7    | 1     | 1      |

  Scenario: A target that has just reported to be full gets no requests
    Given a target with 3 slots that reported 3 running requests
    When 20 ms have passed
    Then no request is sent to it except as a last resort

  Scenario: An entry does not wait for a local target in cold start
    Given a target with 3 slots that reported 0 running requests
    When its cold start begins
    Then the entry does not wait for a local target

  Scenario: Requests and answers since the last load report count at once
    Given a target with 3 slots that reported 2 running requests
    When the entry sends it a request
    Then no request is sent to it except as a last resort
    When that request has ended
    Then a request that can be answered in time is sent to it
