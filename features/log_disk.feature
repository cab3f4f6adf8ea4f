Feature: Recovery of the data folder of a control VM

  @fixture.folder
  Scenario Outline: An incomplete last entry is removed, other damage is refused
    Given a data folder with 20 entries, the last <unsynced> not synced
    When the log is damaged by "<damage>"
    Then it reads as "<outcome>"

    Examples:
      | unsynced | damage                  | outcome          |
      | 1        | cut in the last payload | entries 1 to 19  |
      | 1        | cut in the last header  | entries 1 to 19  |
      | 1        | zeros for the last      | entries 1 to 19  |
      | 0        | payload in the middle   | refused          |
      | 0        | length in the middle    | refused          |
      | 0        | large length in middle  | refused          |
      | 0        | first header            | refused          |
      | 0        | log deleted             | refused          |
      | 0        | snapshot flipped        | refused          |
      | 0        | hard state flipped      | refused          |

  @fixture.folder
  Scenario: A crash between the writes of a snapshot and of the log
    Given a data folder with 20 entries, the last 0 not synced
    When only the file of a snapshot of index 10 and another term is written
    Then it reads as "entries 11 to 10"

  @fixture.folder
  Scenario Outline: After one failed write the storage refuses all writes
    Given a data folder with 20 entries, the last 0 not synced
    When "<call>" fails with <error> once
    Then the storage refuses that write and every later one

    Examples:
      | call      | error  |
      | fdatasync | EIO    |
      | fsync     | EIO    |
      | fsync     | ENOSPC |
