"""Collects a body without ever holding it twice."""

import mmap

from cardamomkeel import body_parts

# Longer bodies are written to pages of their own, which grow without a copy and
# go back to the system at once.
SHORT_BYTES = 65_536
FIRST_PAGES_BYTES = 1 << 20


class LongBody:
    """A body of any length, in about the memory of its bytes."""

    def __init__(self):
        self._parts = body_parts.BodyParts()
        self._pages: mmap.mmap | None = None
        self._size = 0
        self._expected = 0

    def expect(self, size: int) -> None:
        """Sets the announced length of the body."""
        self._expected = size

    def append(self, part: bytes) -> None:
        """Adds the next part."""
        end = self._size + len(part)
        if self._pages is None:
            if end <= SHORT_BYTES:
                self._parts.append(part)
                self._size = end
                return
            size = max(self._expected, end, FIRST_PAGES_BYTES)
            # Shared pages can't grow.
            flags = mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
            self._pages = mmap.mmap(-1, size, flags=flags)
            self._pages[: self._size] = self._parts.join()
        if end > len(self._pages):
            self._pages.resize(max(end, 2 * len(self._pages)))
        self._pages[self._size : end] = part
        self._size = end

    def clear(self) -> None:
        """Drops the body."""
        self._parts.clear()
        self._pages = None
        self._size = 0
        self._expected = 0

    def join(self) -> bytes | memoryview:
        """Returns the whole body, and begins with the next one."""
        pages, size = self._pages, self._size
        body = self._parts.join()
        self.clear()
        return body if pages is None else memoryview(pages)[:size]
