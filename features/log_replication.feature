Feature: The control VMs agree on one log

  Scenario: Histories of losses, crashes, lost disks and compaction
    Then no history of 3 replicas violates an invariant
    And no history of 5 replicas violates an invariant

  Scenario: A promoted learner counts towards the quorum of its own promotion
    Given a group of replicas control-1 that expects control-2
    When control-2 is promoted to voter but does not receive the change
    Then the change is not committed

  Scenario: A voter that has not received its promotion votes
    Given a group of replicas control-1 control-2 that expects control-3
    When control-3 is promoted to voter but does not receive the change
    And the leader is lost permanently
    Then another replica leads within 3000 ms

  Scenario: A candidate wins before the others have received its promotion
    Given a group of replicas control-1 control-2 that expects control-3
    When control-3 is promoted to voter and only it receives the change
    And the leader is lost permanently
    Then another replica leads within 3000 ms

  Scenario: A lost leader is replaced before leases run out
    # The longest election timeout of 1,200 ms plus the margin of 300 ms that a
    # lease adds for the election.
    Then each of 400 groups of 3 replicas replaces a lost leader in 1500 ms
    And each of 100 groups of 5 replicas replaces a lost leader in 1500 ms

  Scenario: A reply of another disk does not confirm a leader
    Given a group of replicas control-1 control-2 control-3
    When the leader receives a reply of another disk to a snapshot
    Then the reply does not confirm the leader

  Scenario: The term of another disk does not depose a leader
    Given a group of replicas control-1 control-2 control-3
    When the leader receives a higher term from another disk
    Then it is still the leader

  Scenario: A removed leader steps down once its removal is committed
    Given a group of replicas control-1 control-2 control-3
    When the leader removes itself
    Then another replica leads within 3000 ms
    And the removed replica does not lead

  Scenario: Committed entries are never replaced
    Given a group of replicas control-1 control-2 control-3
    When a follower receives other entries at a committed index
    Then it refuses them with an error

  Scenario: Entries that a snapshot covers are acknowledged
    Given a group of replicas control-1 control-2 control-3
    When a follower receives entries that it has compacted
    Then it acknowledges its commit index

  Scenario: An unresponsive learner is not promoted to voter
    Given a group of replicas control-1 control-2 that expects control-3
    When control-3 is a learner that has been unresponsive for 2000 ms
    Then it does not count as caught up

  Scenario: Requests to an earlier disk are refused
    Given a group of replicas control-1 control-2 control-3
    When a follower loses its disk and gets requests for its earlier id
    Then it neither votes nor stores entries

  Scenario: A vote survives a restart
    Given a group of replicas control-1 control-2 control-3
    When a follower votes, restarts and gets another vote request
    Then it refuses the second vote of the term

  Scenario: An entry of an earlier term is not committed by counting replicas
    Given a group of replicas control-1 control-2 control-3
    When a new leader learns that all members have an earlier entry
    Then it has not committed the entry and is not ready

  Scenario: A snapshot does not change with the tables loaded from it
    Given tables that were loaded from a snapshot with an answer
    When the answer expires
    Then the snapshot still holds the answer

  Scenario: A leader counts itself only for entries that it has synced
    Given a group of replicas control-1 control-2 control-3
    When one other member has an entry that the leader has not synced
    Then the entry is committed only once the leader has synced it

  Scenario: A former leader acknowledges only entries that it has synced
    Given a group of replicas control-1 control-2 control-3
    When the leader has appended without a sync
    And a newer leader sends a heartbeat at the same log position
    Then the entries that it acknowledges are on its disk

  Scenario: After a power loss a leader is elected soon
    When groups of 3 replicas lose power and start again, 30 times
    Then each has a leader within 1000 ms
    And half of them within the least election timeout
    And half of them within two heartbeats

  Scenario: A restarted replica does not disrupt a live leader
    Given a group of replicas control-1 control-2 control-3
    When the other replicas restart in turn, 20 times
    Then the same leader still leads in the same term

  Scenario: The election timeout counts from the end of a slow write
    # Guards against a voter that campaigns at once since its vote was written
    # for longer than an election takes.
    Given a group of replicas control-1 control-2 control-3
    When a follower votes and needs 2000 ms to write that
    Then it does not campaign within 500 ms of the end of the write

  Scenario: A candidate waits for votes that are written slowly
    Given a group of replicas control-1 control-2 control-3
    When the votes for a candidate arrive 2000 ms after its requests
    Then it leads in the term of these votes

  Scenario: A candidate that can't win any more campaigns again soon
    Given a group of replicas control-1 control-2 control-3
    When the votes for a candidate are refused
    Then it campaigns again within 1200 ms

  Scenario: A late vote counts while the candidate prepares another campaign
    Given a group of replicas control-1 control-2 control-3
    When one vote for a candidate is refused, and the other one is late
    Then it leads in the term of these votes

  Scenario: A leader waits longer for followers that write slowly
    Given a group of replicas control-1 control-2 control-3
    When the followers report writes of 1000 ms and are silent for 1500 ms
    Then it is still the leader

  Scenario: A leader waits for the request after the last acknowledged one
    # Guards against the removal of a live voter: its last acknowledgement and
    # the next one each waited for a write of both.
    Given a group of replicas control-1 control-2 control-3
    When the followers report writes of 1000 ms and are silent for 4500 ms
    Then it is still the leader

  Scenario: A leader waits no longer for followers that write fast
    Given a group of replicas control-1 control-2 control-3
    When the followers report writes of 0 ms and are silent for 1500 ms
    Then it is no longer the leader
