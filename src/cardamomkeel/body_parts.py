"""Collects a body from the parts in which it is received."""

# Shorter parts are copied together: as an object of its own, each would take
# many times the memory of its bytes.
MIN_PART_BYTES = 4096


class BodyParts:
    """The parts of a body, in about the memory of its bytes."""

    def __init__(self):
        self._parts: list[bytes | bytearray] = []

    def append(self, part: bytes) -> None:
        """Adds the next part."""
        last = self._parts[-1] if self._parts else None
        if isinstance(last, bytearray) and len(last) < MIN_PART_BYTES:
            last += part
        elif len(part) < MIN_PART_BYTES:
            self._parts.append(bytearray(part))
        else:
            self._parts.append(part)

    def __bool__(self) -> bool:
        return bool(self._parts)

    def clear(self) -> None:
        """Drops all parts."""
        self._parts.clear()

    def join(self) -> bytes:
        """Returns the whole body, and begins with the next one."""
        parts, self._parts = self._parts, []
        return b"".join(parts)
