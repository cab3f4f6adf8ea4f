"""Decides when the log of a control VM is replaced by a snapshot.

A start reads the whole log, and the entries stay in memory, so the log is
bounded by bytes as well as by entries. A snapshot is written only after a
multiple of its own size in entries, which keeps the cost per change constant.
"""

import dataclasses

MIN_ENTRIES = 2000
MIN_LOG_BYTES = 4_000_000
# How many times the bytes of a snapshot are logged before the next one.
LOG_PER_SNAPSHOT = 8
# The parts of the memory and of the disk that the log may fill.
MEMORY_SHARE = 1 / 16
DISK_SHARE = 1 / 16
# One command fills at most this part of the log, so that a few of the longest
# ones and the snapshot that holds their result stay within bounds.
COMMAND_SHARE = 1 / 4
# Each node adds a random part up to this, so that a majority of the nodes does
# not compact at the same time.
MAX_JITTER = 0.25
# By which part the log may grow further while a member still needs it: a
# member that lacks compacted entries is sent the whole snapshot.
DEFERRED_SHARE = 0.25


@dataclasses.dataclass(frozen=True)
class Limits:
    """What a control VM may log.

    Attributes:
        log_bytes: How many bytes of entries may follow a snapshot.
        command_bytes: The length of the longest command that is accepted.
    """

    log_bytes: int
    command_bytes: int


@dataclasses.dataclass(frozen=True)
class Backlog:
    """The applied entries since the last snapshot.

    Attributes:
        entries: Their number.
        log_bytes: Their length.
        snapshot_bytes: The length of that snapshot.
    """

    entries: int
    log_bytes: int
    snapshot_bytes: int


def derive_limits(memory_bytes: float, disk_bytes: float) -> Limits:
    """Returns the limits of a VM.

    Args:
        memory_bytes: The memory of the process.
        disk_bytes: The size of the disk.
    """
    log_bytes = int(min(memory_bytes * MEMORY_SHARE, disk_bytes * DISK_SHARE))
    return Limits(log_bytes, int(log_bytes * COMMAND_SHARE))


def is_due(
    backlog: Backlog, limits: Limits, jitter: float, is_needed: bool
) -> bool:
    """Returns whether a snapshot has to replace the log.

    Args:
        backlog: What the snapshot would replace.
        limits: The limits of this VM.
        jitter: The random part that this node adds, up to `MAX_JITTER`.
        is_needed: Whether another member still needs entries of the log.
    """
    # The most that the jitter and a deferral add stays within the limit.
    most = limits.log_bytes / (1 + MAX_JITTER) / (1 + DEFERRED_SHARE)
    target = max(MIN_LOG_BYTES, LOG_PER_SNAPSHOT * backlog.snapshot_bytes)
    factor = 1 + jitter
    if is_needed:
        factor *= 1 + DEFERRED_SHARE
    return (
        backlog.entries >= MIN_ENTRIES * factor
        or backlog.log_bytes >= min(target, most) * factor
    )
