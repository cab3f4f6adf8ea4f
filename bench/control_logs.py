"""Finds what control VMs logged about slow disks and elections."""

import pathlib

NOTABLE = ("slow disk", "became leader", "became follower")
# How many lines of each log are shown, the newest ones.
MOST_LINES = 12


def find_notable(path: pathlib.Path) -> list[str]:
    """Returns the notable lines of a log; none if there is no such file."""
    try:
        content = path.read_text(encoding="utf-8", errors="replace")
    except FileNotFoundError:
        return []
    lines = content.splitlines()
    found = [line for line in lines if any(text in line for text in NOTABLE)]
    return found[-MOST_LINES:]
