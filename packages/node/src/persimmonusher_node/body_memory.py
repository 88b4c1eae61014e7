"""The memory for bodies and answers of requests on routes with large bodies."""

from typing import Final

KEPT_BYTES: Final = 65_536
"""What each request may always hold: the first part of its body, and later of its answer."""
MAX_REQUEST_BYTES: Final = 262_144
"""What one request may hold while others leave room."""
TOTAL_BYTES: Final = 33_554_432
EXTRA_SHARE: Final = 0.1875
"""Part of the total that requests may take beyond KEPT_BYTES each. It leaves 26 MiB of 32 MiB, room
for 416 requests, so that slow readers of long answers can't keep new requests out."""
PIECE_BYTES: Final = 16_384
"""Size of the pieces in which bodies and answers are passed on."""


class BodyMemory:
    """Bounds the bytes that all requests with large bodies hold together at one instance."""

    def __init__(self, total_bytes: int = TOTAL_BYTES) -> None:
        self._total_bytes = total_bytes
        self._max_extra_bytes = int(total_bytes * EXTRA_SHARE)
        self._extra_bytes = 0
        self._shares = 0

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are set aside for requests, used or not."""
        return self._shares * KEPT_BYTES + self._extra_bytes

    @property
    def has_room(self) -> bool:
        """Return whether the memory for one more request is left."""
        return self.held_bytes + KEPT_BYTES <= self._total_bytes

    def reserve(self) -> "MemoryShare | None":
        """Set aside the memory for one request; return None if that would exceed the total."""
        if not self.has_room:
            return None
        self._shares += 1
        return MemoryShare(self)

    def change_extra(self, change: int) -> bool:
        """Add to the bytes beyond KEPT_BYTES; return False, without a change, if none are left."""
        if change > 0 and (
            self._extra_bytes + change > self._max_extra_bytes
            or self.held_bytes + change > self._total_bytes
        ):
            return False
        self._extra_bytes += change
        return True

    def remove_share(self) -> None:
        """Free the KEPT_BYTES of one request."""
        self._shares -= 1


class MemoryShare:
    """The memory of one request, which must be released at its end."""

    def __init__(self, memory: BodyMemory) -> None:
        self._memory: BodyMemory | None = memory
        self._extra_bytes = 0

    def allow(self, size: int) -> bool:
        """Return whether the request may hold `size` bytes from now on; adapts the share to it."""
        if self._memory is None or size > MAX_REQUEST_BYTES:
            return False
        extra_bytes = max(0, size - KEPT_BYTES)
        if not self._memory.change_extra(extra_bytes - self._extra_bytes):
            return False
        self._extra_bytes = extra_bytes
        return True

    def release(self) -> None:
        """Free the memory; does nothing the second time."""
        memory, self._memory = self._memory, None
        if memory is not None:
            memory.change_extra(-self._extra_bytes)
            memory.remove_share()
