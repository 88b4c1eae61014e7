"""The memory for bodies that are kept whole, and for answers that are read ahead of callers."""

from typing import Final

from persimmonusher_node.body_waits import BodyWaits

DEFAULT_HELD_BYTES: Final = 33_554_432
ANSWERS_PART: Final = 0.5
"""Part of the memory that answers may take, so that callers that read nothing don't keep out the
bodies of others."""


class HeldMemory:
    """Bounds the bytes that all requests of a process hold together."""

    def __init__(self, waits: BodyWaits, total_bytes: int = DEFAULT_HELD_BYTES) -> None:
        self._waits = waits
        self._total_bytes = total_bytes
        self.held_bytes = 0

    def open_share(self) -> "HeldShare":
        """Return the share of one request, which holds nothing yet and must be released."""
        return HeldShare(self)

    def take(self, size: int) -> bool:
        """Take memory for a body; other bodies give way. Return False if there is not enough."""
        if size > self._total_bytes:
            return False
        if not self._waits.make_room(lambda: self.held_bytes + size <= self._total_bytes):
            return False
        self.held_bytes += size
        return True

    def take_for_answer(self, size: int) -> bool:
        """Take memory for an answer; return False if there is not enough."""
        if self.held_bytes + size > self._total_bytes * ANSWERS_PART:
            return False
        self.held_bytes += size
        return True

    def give_back(self, size: int) -> None:
        """Free memory that was taken."""
        self.held_bytes -= size


class HeldShare:
    """What one request holds."""

    def __init__(self, memory: HeldMemory) -> None:
        self._memory: HeldMemory | None = memory
        self._held_bytes = 0

    def take(self, size: int) -> bool:
        """Take memory for further bytes of the body; return False if there is not enough."""
        if self._memory is None or not self._memory.take(size):
            return False
        self._held_bytes += size
        return True

    def take_for_answer(self, size: int) -> bool:
        """Take memory for further bytes of an answer; return False if there is not enough."""
        if self._memory is None or not self._memory.take_for_answer(size):
            return False
        self._held_bytes += size
        return True

    def give_back(self, size: int) -> None:
        """Free a part of the memory, as that part is no longer held."""
        if self._memory is not None:
            self._memory.give_back(size)
            self._held_bytes -= size

    def release(self) -> None:
        """Free all of it; does nothing the second time."""
        memory, self._memory = self._memory, None
        if memory is not None:
            memory.give_back(self._held_bytes)
