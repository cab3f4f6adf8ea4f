"""What a process may hold, from the limits in its settings file."""

import pathlib
import resource

from cardamomkeel.gateway import settings as settings_lib
from cardamomkeel.platform import node_file
from cardamomkeel.policy import log_compaction
from cardamomkeel.policy import process_limits

BYTES_PER_MB = 1_000_000
# How often a control VM holds a configuration beside its decoded form: as
# received, as command, as entry of the log and on its way to other members.
BODY_COPIES = 4
# Taken where the system does not tell the size of the process.
USUAL_IDLE_BYTES = 48_000_000
# Of a VM whose memory or disk is not in the file.
USUAL_MEMORY_BYTES = 256_000_000
USUAL_DISK_BYTES = 256_000_000
# Without a limit in the file; more would be no protection.
MAX_DESCRIPTORS = 8192


def read_idle_bytes() -> int:
    """Returns the resident size of this process, which serves nothing yet."""
    try:
        fields = pathlib.Path("/proc/self/statm").read_text().split()
        return int(fields[1]) * resource.getpagesize()
    except (OSError, ValueError, IndexError):
        return USUAL_IDLE_BYTES


def get_buffer_bytes(limits: node_file.Limits) -> int:
    """Returns how many bytes of heads, bodies and answers may be held."""
    if not limits.memory_mb:
        return settings_lib.DEFAULT_BUFFER_BYTES
    return process_limits.get_budget(
        limits.memory_mb * BYTES_PER_MB, read_idle_bytes()
    )


def get_configuration_bytes(limits: node_file.Limits) -> int:
    """Returns how long the text of a configuration may be."""
    memory_bytes = limits.memory_mb * BYTES_PER_MB or USUAL_MEMORY_BYTES
    return int(memory_bytes * process_limits.CONFIGURATION_SHARE)


def get_control_buffer_bytes(limits: node_file.Limits) -> int:
    """Returns how many bytes of requests a control VM may hold.

    Room stays for the log and for one configuration that is decoded.
    """
    decoded = process_limits.get_decode_budget(get_configuration_bytes(limits))
    logged = get_log_limits(limits).log_bytes
    return max(
        get_buffer_bytes(limits) - decoded - logged,
        BODY_COPIES * get_configuration_bytes(limits) * 2,
    )


def get_log_limits(limits: node_file.Limits) -> log_compaction.Limits:
    """Returns what a control VM may log."""
    return log_compaction.derive_limits(
        limits.memory_mb * BYTES_PER_MB or USUAL_MEMORY_BYTES,
        limits.disk_mb * BYTES_PER_MB or USUAL_DISK_BYTES,
    )


def get_connections(
    limits: node_file.Limits, share: float = process_limits.OTHER_PORTS_SHARE
) -> int:
    """Returns how many connections one port may have open.

    Args:
        limits: The limits of the process.
        share: The part of its descriptors for this port.
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY:
        allowed = MAX_DESCRIPTORS
    wanted = int(limits.max_fds) or MAX_DESCRIPTORS
    return process_limits.get_connections(min(allowed, wanted), share)
