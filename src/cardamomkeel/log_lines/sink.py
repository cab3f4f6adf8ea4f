"""Writes lines to a file descriptor without ever waiting for its reader."""

import os
import select

import loguru
import orjson

# A pipe that says that it can be written to takes so many bytes at once.
MAX_WRITE_BYTES = select.PIPE_BUF


class Sink:
    """Writes whole lines, or counts them where the reader does not keep up."""

    def __init__(self, fd: int):
        self._fd = fd
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)
        # What is left of a line whose first part has been written.
        self._unwritten = b""
        self._dropped = 0

    def write(self, message: "loguru.Message") -> None:
        """Takes one line, which ends with a line feed."""
        line = str(message).encode()
        if not self._flush():
            self._dropped += 1
            return
        if self._dropped:
            dropped_line = self._make_dropped_line(message)
            self._dropped = 0
            self._unwritten = dropped_line + line
        else:
            self._unwritten = line
        self._flush()

    def _make_dropped_line(self, message: "loguru.Message") -> bytes:
        """Returns the line that tells how many were left out."""
        line = {
            "time": message.record["time"].isoformat(timespec="milliseconds"),
            "level": "warning",
            "module": __name__,
            "message": "dropped lines",
            "process_name": message.record["extra"].get("process_name", ""),
            "count": self._dropped,
        }
        return orjson.dumps(line) + b"\n"

    def _flush(self) -> bool:
        """Writes what is left; False where the reader does not take it."""
        while self._unwritten:
            if not self._poll.poll(0):
                return False
            written = os.write(self._fd, self._unwritten[:MAX_WRITE_BYTES])
            self._unwritten = self._unwritten[written:]
        return True
