"""Derives what a process may hold from the limits of its VM.

Answers callers that nobody controls, who would otherwise fill the memory and
the descriptors that targets, control and the operator need.
"""

# Left for what grows beside the budget: routes, targets, buffers of the
# allocator and of the system.
MEMORY_SHARE = 0.86
# A process whose idle size leaves less than this part still serves.
MIN_BUDGET_SHARE = 0.125
# The part of its memory that the text of one configuration may fill.
CONFIGURATION_SHARE = 1 / 256
# How many times its length a decoded JSON text takes at most. An empty object
# has three bytes in a list, and takes up to 96 once it is decoded.
DECODED_COPIES = 32
# Descriptors that the system reserves for the files of the program.
RESERVED_DESCRIPTORS = 200
# One port's callers may use half of the rest; targets, control, other entries,
# the operator and the platform share the other half.
CALLERS_SHARE = 0.5
# A port for the operator or the platform needs few connections.
OTHER_PORTS_SHARE = 0.0625
MIN_CONNECTIONS = 8
# What a connection takes beside the bodies: objects, head and parser.
CONNECTION_BYTES = 16_384


def get_budget(memory_bytes: float, idle_bytes: int) -> int:
    """Returns how many bytes of heads, bodies and answers may be held.

    Args:
        memory_bytes: The memory of the process.
        idle_bytes: What the process takes without callers.
    """
    free = memory_bytes * MEMORY_SHARE - idle_bytes
    return int(max(free, memory_bytes * MIN_BUDGET_SHARE))


def get_decode_budget(longest: int) -> int:
    """Returns how many bytes the longest text takes once it is decoded.

    Args:
        longest: The length of the text, in bytes.
    """
    return longest * DECODED_COPIES


def get_connections(descriptors: int, share: float) -> int:
    """Returns how many connections callers of one port may have open.

    Args:
        descriptors: The descriptors that the process may have open.
        share: The part of them for this port.
    """
    usable = max(0, descriptors - RESERVED_DESCRIPTORS)
    return max(MIN_CONNECTIONS, int(usable * share))
