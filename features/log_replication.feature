Feature: The control VMs agree on one log

  Scenario: Histories of losses, crashes, lost disks and compaction
    Then no history of 3 replicas breaks what must hold
    And no history of 5 replicas breaks what must hold

  Scenario: A learner counts as a voter from its own change on
    Given a group of replicas control-1 that expects control-2
    When control-2 is made a voter but hears nothing of it
    Then the change is not committed

  Scenario: A voter that has not heard of its promotion votes
    Given a group of replicas control-1 control-2 that expects control-3
    When control-3 is made a voter but hears nothing of it
    And the leader is lost for good
    Then another replica leads within 3000 ms

  Scenario: A candidate whose promotion the others have not heard of wins
    Given a group of replicas control-1 control-2 that expects control-3
    When control-3 is made a voter and only it hears of it
    And the leader is lost for good
    Then another replica leads within 3000 ms

  Scenario: A lost leader is replaced before leases run out
    # The longest election time of 1,200 ms and the margin of 300 ms that a
    # lease leaves for it.
    Then each of 400 groups of 3 replicas replaces a lost leader in 1500 ms
    And each of 100 groups of 5 replicas replaces a lost leader in 1500 ms

  Scenario: An answer of another disk does not confirm a leader
    Given a group of replicas control-1 control-2 control-3
    When the leader gets an answer of another disk to a snapshot
    Then the leader is not confirmed by it

  Scenario: The term of another disk does not unseat a leader
    Given a group of replicas control-1 control-2 control-3
    When the leader gets a higher term from another disk
    Then it still leads

  Scenario: A leader that was removed steps down once that is committed
    Given a group of replicas control-1 control-2 control-3
    When the leader removes itself
    Then another replica leads within 3000 ms
    And the removed replica does not lead

  Scenario: Committed entries are never replaced
    Given a group of replicas control-1 control-2 control-3
    When a follower gets other entries for what is committed
    Then it refuses them aloud

  Scenario: Entries that a snapshot covers are confirmed
    Given a group of replicas control-1 control-2 control-3
    When a follower that has compacted its log gets it again
    Then it answers with what it has committed

  Scenario: A learner that fell silent is not made a voter
    Given a group of replicas control-1 control-2 that expects control-3
    When control-3 is a learner that has been silent for 2000 ms
    Then it does not count as caught up

  Scenario: The votes and answers of an earlier disk never count
    Given a group of replicas control-1 control-2 control-3
    When a follower loses its disk and is asked by its earlier name
    Then it neither votes nor takes entries

  Scenario: A vote is remembered over a restart
    Given a group of replicas control-1 control-2 control-3
    When a follower votes, restarts and is asked by another candidate
    Then it refuses the second vote of the term

  Scenario: An entry of an earlier term is not committed by its count alone
    Given a group of replicas control-1 control-2 control-3
    When a new leader learns that all have an entry of an earlier term
    Then it has committed nothing of it and is not ready

  Scenario: A snapshot stays as it was while its state goes on
    Given tables that were loaded from a snapshot with an answer
    When the answer is dropped for its age
    Then the snapshot still holds the answer

  Scenario: A leader counts itself only for what its disk holds
    Given a group of replicas control-1 control-2 control-3
    When one other member has what the leader has not synced
    Then that is committed only once the leader has synced it

  Scenario: A former leader confirms nothing that its disk lacks
    Given a group of replicas control-1 control-2 control-3
    When the leader has appended without a sync
    And a newer leader finds that it has the same log
    Then what it confirms is on its disk

  Scenario: After a loss of power a leader is found soon
    When groups of 3 replicas lose power and start again, 30 times
    Then each has a leader within 1000 ms
    And half of them within the least time without a heartbeat

  Scenario: A replica that starts again leaves a leader that lives alone
    Given a group of replicas control-1 control-2 control-3
    When each other replica starts again, 20 times
    Then the same leader still leads in the same term
