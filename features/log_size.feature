Feature: The log of a control VM stays within its memory and its disk

  # Guards against a log that is bounded by entries alone: after hundreds of
  # changes of many routes no control VM had the memory to start again.
  Scenario: A group comes back after many changes of many routes
    Given programs on the platform, control VMs with 296 MB of memory and 256 MB of disk
    When the operator sends 90 changes of 1836 routes
    Then each log takes at most 16 MB, and less than half of what was sent
    When all control VMs are killed and started again
    Then every control VM reads back the newest change
    And none has used more than 296 MB

  # Guards against a start that holds the log several times.
  @fixture.folder
  Scenario: A start holds one copy of a long log
    Given a data folder with 40 entries of 1 MB
    When a process loads it
    Then its memory grew by at most 60 MB
    And it has read entries 1 to 40

  # Guards against a start that rewrites the log, for which a disk that was
  # almost full had no room.
  @fixture.folder
  Scenario: A start needs no room on the disk
    Given a data folder with 20 entries of 10 kB
    When it is opened while no file may exceed 1 kB
    Then it takes entry 21
    And it has read entries 1 to 21

  # Guards against the rest of a failed write that a retry finds.
  @fixture.folder
  Scenario: An entry for which the disk has no room leaves nothing behind
    Given a data folder with 20 entries of 10 kB
    When an entry of 100 kB is appended while no file may exceed 250 kB
    Then the storage has failed
    And the folder takes as many bytes as before
    And it has read entries 1 to 20

  # Guards against entries in the page cache that a failed sync has not brought
  # to the disk, and that a retry would count as synced.
  @fixture.folder
  Scenario: An entry whose sync fails is not read by a retry
    Given a data folder with 20 entries of 10 kB
    When an entry of 10 kB is appended and its sync fails
    Then the storage has failed
    And it has read entries 1 to 20

  # Guards against a compaction that ends the process again and again on a
  # disk with room for entries, but not for a snapshot.
  @fixture.folder
  Scenario: A snapshot for which the disk has no room leaves the log in use
    Given a data folder with 20 entries of 10 kB
    When a snapshot of 100 kB up to entry 15 is saved while no file may exceed 60 kB
    Then it is refused for lack of room
    And the folder takes as many bytes as before
    And it takes entry 21
    And it has read entries 1 to 21
    When a snapshot of 100 kB up to entry 15 is saved
    Then it takes entry 22
    And it has read entries 16 to 22

  # Guards against a partial file that takes the room which later writes need.
  @fixture.folder
  Scenario: Files that were not completed are removed at the start
    Given a data folder with 20 entries of 10 kB
    And partial files beside the snapshot, the log and the hard state
    Then it has read entries 1 to 20
    And the folder holds 3 files

  # Guards against a folder that is taken for the one of an initial member
  # without members after the creation of a joining one was cut short.
  @fixture.folder
  Scenario Outline: A folder whose creation fails at write <number> counts as empty
    Given the data folder of an initial member that has not formed a group
    When the folder of a joining member is created in its place, and write <number> fails
    Then it counts as empty or is that of a joining member

    Examples:
      | number |
      | 1      |
      | 2      |
      | 3      |

  Scenario Outline: When a snapshot replaces the log
    Given a VM with 296 MB of memory and 256 MB of disk
    And a snapshot of <snapshot> kB
    Then <entries> entries of <log> kB <outcome> if <need> needs them

    Examples:
      | snapshot | entries | log   | need      | outcome      |
      | 1        | 1999    | 100   | no member | stay         |
      | 1        | 2000    | 100   | no member | are replaced |
      | 1        | 2000    | 100   | a member  | stay         |
      | 1        | 2500    | 100   | a member  | are replaced |
      | 110      | 38      | 3999  | no member | stay         |
      | 110      | 38      | 4000  | no member | are replaced |
      | 1000     | 38      | 7999  | no member | stay         |
      | 1000     | 38      | 8000  | no member | are replaced |
      | 4000     | 4       | 10239 | no member | stay         |
      | 4000     | 4       | 10240 | no member | are replaced |
      | 4000     | 4       | 12799 | a member  | stay         |
      | 4000     | 4       | 12800 | a member  | are replaced |

  # Guards against a change that the other members or a start can't take.
  Scenario: A change that is too long is refused before it is logged
    Given a control VM that leads a group of one
    When commands of 100, 3900 and 4100 kB are proposed
    Then the commands end with OK, OK and REFUSED
    And the last result names the limit of 4000000 bytes
    And the log takes less than 5000 kB
