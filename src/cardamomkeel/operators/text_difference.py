"""Shows how two texts differ."""

import difflib
import re

# Comparing takes time that grows with the square of the lines that differ.
MAX_DIFFERING_LINES = 500
CONTEXT_LINES = 3
LINE_NUMBERS = re.compile(r"(?<=[-+])\d+")


def describe(before: str, after: str, name: str) -> str:
    """Returns the lines that differ, as a unified difference.

    Args:
        before: The text in force.
        after: The text that was refused.
        name: What to call the text in force.
    """
    old, new = before.splitlines(), after.splitlines()
    start = _count_common(old, new)
    rest = _count_common(old[start:][::-1], new[start:][::-1])
    if max(len(old), len(new)) - start - rest > MAX_DIFFERING_LINES:
        return (
            f"{name} and your text differ from line {start + 1} on, in more "
            f"than {MAX_DIFFERING_LINES} lines"
        )
    first = max(0, start - CONTEXT_LINES)
    cut = max(0, rest - CONTEXT_LINES)
    lines = difflib.unified_diff(
        old[first : len(old) - cut],
        new[first : len(new) - cut],
        name,
        "your text",
        lineterm="",
    )
    return "\n".join(
        _shift_header(line, first) if line.startswith("@@") else line
        for line in lines
    )


def _shift_header(line: str, by: int) -> str:
    """Returns the head of a group of lines, for places further down."""
    return LINE_NUMBERS.sub(lambda found: str(int(found[0]) + by), line)


def _count_common(first: list[str], second: list[str]) -> int:
    """Returns how many lines two texts begin with in common."""
    count = 0
    for one, other in zip(first, second, strict=False):
        if one != other:
            break
        count += 1
    return count
