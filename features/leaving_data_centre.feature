Feature: The share of a service's requests that leaves its data centre

  Scenario Outline: Callers of three data centres with 24 slots each, <load>
    Given demand of <demand> times the room of each data centre, moved by <swing>
    And <what> happens after 4 s
    And reports between entries are <reports>
    When requests of 120 ms, useful within 300 ms, arrive for 16 s
    Then at least <least> in 100 are answered in time with the decision
    And at most 1 in 100 fewer than where each decides for itself
    And at most <most> in 100 leave with the decision
    And two data centres send to each other for at most 1 % of the time
    And no request leaves to a data centre that is emptied or cut off

    Examples: What callers get
      | load                       | demand        | swing | what    | reports      | least | most |
      | in waves out of phase      | 1.0, 1.0, 1.0 | 0.55  | nothing | in time      | 88    | 20   |
      | a third at 1.6 beside idle | 1.6, 0.1, 0.1 | 0.0   | nothing | in time      | 97    | 50   |
      | all short                  | 1.4, 1.4, 1.4 | 0.0   | nothing | in time      | 42    | 1    |
      | two full beside one idle   | 1.3, 1.3, 0.1 | 0.0   | nothing | in time      | 97    | 30   |
      | room everywhere            | 0.5, 0.5, 0.5 | 0.0   | nothing | in time      | 98    | 0    |
      | the far side turns slow    | 1.3, 0.2, 1.0 | 0.0   | slow    | in time      | 73    | 10   |
      | one loses its targets      | 0.5, 0.5, 0.5 | 0.0   | out     | in time      | 97    | 30   |
      | reports come late          | 1.6, 0.1, 0.1 | 0.0   | nothing | 400 ms late  | 97    | 50   |
      | reports are lost           | 1.6, 0.1, 0.1 | 0.0   | nothing | lost for 0.4 | 97    | 50   |
      | a far side is cut off      | 1.6, 0.1, 0.1 | 0.0   | cut     | in time      | 97    | 50   |

  Scenario Outline: <entries> entries of three data centres exchange reports
    Given <entries> entries whose reports are lost in 3 of 100 cases
    When each reports 2 services for 10 s
    Then each knows the sums of all data centres, at most 800 ms old
    And none sends more than <bytes> bytes a second

    Examples: Bytes
      | entries | bytes |
      | 30      | 13000 |
      | 100     | 13000 |
      | 300     | 14000 |

  Scenario: Two summing entries are lost, one after the other
    Given 30 entries whose reports are lost in 0 of 100 cases
    When each reports 2 services for 2 s
    And a summing entry is lost
    And each reports 2 services for 2 s
    Then each knows the sums of all data centres, at most 800 ms old
    When a summing entry is lost
    And each reports 2 services for 2 s
    Then no other entry of its data centre knows room elsewhere
    When control has removed the lost entries
    And each reports 2 services for 2 s
    Then each knows the sums of all data centres, at most 800 ms old

  Scenario: Entries are added that the others do not know yet
    Given 30 entries whose reports are lost in 0 of 100 cases
    When each reports 2 services for 2 s
    And 30 entries are added, of which the others hear 600 ms later
    Then no sums of fewer than 8 entries are used for 5 s

  Scenario Outline: A first send keeps to the data centres that are allowed, a second try does not
    Given an entry that follows a roll-out, whose near targets are full
    And no data centre that requests may leave to
    When a request that <tried> looks for any target
    Then it finds <found>

    Examples:
      | tried               | found       |
      | was not sent before | none        |
      | one target failed   | one far off |
