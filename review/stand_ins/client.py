"""A client of the system: HTTP/1.1 over a plain socket."""

import secrets
import socket
import time


class Connection:
    """A connection to a front that is kept for many requests."""

    def __init__(self, system, front):
        self.system, self.front = system, front
        address = (front.ip, system.port)
        self.socket = socket.create_connection(address, 1.0)
        self._rest = b""

    def close(self):
        """Closes the connection."""
        self.socket.close()

    def request(
        self,
        method,
        path,
        body=b"",
        deadline_ms=4000,
        headers=(),
        pace=None,
    ):
        """Sends a request and waits for its answer until its deadline.

        Args:
            method: The method.
            path: Path and query.
            body: The body.
            deadline_ms: The deadline.
            headers: Further header lines.
            pace: How many bytes of the body are sent at a time, and the pause
                in seconds after them; None for no pauses.

        Returns:
            The id, the status (None without a whole answer), the headers by
            lower-case name, and the seconds that it took.
        """
        name = secrets.token_hex(8)
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: desk.example",
            f"Request-Id: {name}",
            f"Deadline-Ms: {deadline_ms}",
            *headers,
        ]
        if body or method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {len(body)}")
        record = self.system.record
        record.write(
            f"client: {name} {method} {path} to {self.front.name}"
            + (f" with {'; '.join(headers)}" if headers else "")
        )
        began = time.monotonic()
        until = began + deadline_ms / 1000
        status, found, cause = None, {}, ""
        try:
            self.socket.sendall("\r\n".join([*lines, "", ""]).encode())
            self._send_body(body, pace)
            status, found = self._read_answer(until)
        except OSError as exc:
            cause = f" ({type(exc).__name__})"
        took_s = time.monotonic() - began
        record.write(
            f"client: {name} gets {status or 'no answer'}{cause} "
            f"after {took_s:.3f} s"
        )
        return name, status, found, took_s

    def _send_body(self, body, pace):
        if pace is None:
            self.socket.sendall(body)
            return
        size, pause_s = pace
        for start in range(0, len(body), size):
            self.socket.sendall(body[start : start + size])
            time.sleep(pause_s)

    def _receive(self, until):
        self.socket.settimeout(max(0.001, until - time.monotonic()))
        data = self.socket.recv(65536)
        if not data:
            raise ConnectionResetError("closed")
        self._rest += data

    def _read_answer(self, until):
        while b"\r\n\r\n" not in self._rest:
            self._receive(until)
        head, _, self._rest = self._rest.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        found = {}
        for line in lines:
            name, _, value = line.partition(":")
            found[name.strip().lower()] = value.strip()
        size = int(found.get("content-length", 0))
        while len(self._rest) < size:
            self._receive(until)
        self._rest = self._rest[size:]
        return int(first.split(" ")[1]), found
