Feature: What the disk of a control VM holds

  @fixture.folder
  Scenario Outline: Damage of the log, wherever it is
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
    When a snapshot of index 10 and another term replaces only its file
    Then it reads as "entries 11 to 10"

  @fixture.folder
  Scenario Outline: A disk that fails once is not trusted again
    Given a data folder with 20 entries, the last 0 not synced
    When "<call>" fails with <error> once
    Then the storage refuses that and what comes after

    Examples:
      | call      | error  |
      | fdatasync | EIO    |
      | fsync     | EIO    |
      | fsync     | ENOSPC |
