"""Describes the difference between two texts."""

import difflib
import re

# The time of a comparison grows with the square of the differing lines.
MAX_DIFFERING_LINES = 500
CONTEXT_LINES = 3
LINE_NUMBERS = re.compile(r"(?<=[-+])\d+")


def describe(before: str, after: str, name: str) -> str:
    """Returns the differing lines as a unified diff.

    Args:
        before: The text in force.
        after: The text that was refused.
        name: The name of the text in force.
    """
    old, new = before.splitlines(), after.splitlines()
    leading = _count_common(old, new)
    trailing = _count_common(old[leading:][::-1], new[leading:][::-1])
    if max(len(old), len(new)) - leading - trailing > MAX_DIFFERING_LINES:
        return (
            f"{name} and your text differ from line {leading + 1} on, in more "
            f"than {MAX_DIFFERING_LINES} lines"
        )
    skipped = max(0, leading - CONTEXT_LINES)
    dropped = max(0, trailing - CONTEXT_LINES)
    lines = difflib.unified_diff(
        old[skipped : len(old) - dropped],
        new[skipped : len(new) - dropped],
        name,
        "your text",
        lineterm="",
    )
    return "\n".join(
        _shift_header(line, skipped) if line.startswith("@@") else line
        for line in lines
    )


def _shift_header(line: str, by: int) -> str:
    """Returns the header of a hunk with its line numbers moved down."""
    return LINE_NUMBERS.sub(lambda found: str(int(found[0]) + by), line)


def _count_common(first: list[str], second: list[str]) -> int:
    """Returns the number of leading lines that two texts share."""
    count = 0
    for one, other in zip(first, second, strict=False):
        if one != other:
            break
        count += 1
    return count
