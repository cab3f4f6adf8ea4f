"""Slows down the syncs of a process that has this folder in PYTHONPATH.

While the file that SLOW_DISK_FILE names exists, each sync takes as many ms
longer as it says: the least and the most, drawn anew each time.
"""

import os
import pathlib
import random
import time

MS_PER_SECOND = 1000.0


def _slow_down(sync):
    path = pathlib.Path(os.environ["SLOW_DISK_FILE"])

    def slow_sync(fd):
        sync(fd)
        if path.exists():
            least_ms, most_ms = map(float, path.read_text("utf-8").split())
            time.sleep(random.uniform(least_ms, most_ms) / MS_PER_SECOND)

    return slow_sync


if "SLOW_DISK_FILE" in os.environ:
    os.fsync = _slow_down(os.fsync)
    os.fdatasync = _slow_down(os.fdatasync)
