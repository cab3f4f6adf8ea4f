"""Writes log lines to a file descriptor without blocking on its reader."""

import os
import select

import loguru
import orjson

# A pipe that polls as writable accepts this many bytes without blocking.
MAX_WRITE_BYTES = select.PIPE_BUF


class Sink:
    """Writes complete lines; drops and counts lines if the reader is slow."""

    def __init__(self, fd: int):
        self._fd = fd
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)
        # The rest of a line that was written in part.
        self._unwritten = b""
        self._dropped = 0

    def write(self, message: "loguru.Message") -> None:
        """Writes or drops one line, which ends with a line feed."""
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
        """Returns the line that reports the number of dropped lines."""
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
        """Writes unwritten bytes until the pipe is full.

        Returns:
            Whether all of them were written.
        """
        while self._unwritten:
            if not self._poll.poll(0):
                return False
            written = os.write(self._fd, self._unwritten[:MAX_WRITE_BYTES])
            self._unwritten = self._unwritten[written:]
        return True
