"""Messages of log lines that were renamed, for searches in older logs."""

# The message that a line has now, by the one that it had before.
RENAMED: dict[str, str] = {}
