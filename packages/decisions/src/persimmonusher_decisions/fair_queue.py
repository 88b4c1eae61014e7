"""The bounded queue of requests that wait for a server, fair between callers."""

from collections import OrderedDict, deque
from typing import Final

from persimmonusher_decisions.work import Request
from persimmonusher_model.identifiers import CallerId

LOOKUP_ROOM: Final = 0.75
"""Part of the queue that idempotent requests may fill; the rest is kept for the others."""
TURNS_FOR_NON_IDEMPOTENT: Final = 3
"""Non-idempotent requests released for each idempotent one while both wait."""


class Lane:
    """First in, first out for each caller, and the callers in turn."""

    def __init__(self) -> None:
        self._callers: OrderedDict[CallerId, deque[Request]] = OrderedDict()
        self.count = 0

    def has_room(self, caller: CallerId, limit: int) -> bool:
        """Tell whether the caller may wait in this lane of `limit` places.

        A caller may take the lane's places divided by the waiting callers plus one, so there is
        always room for a caller that comes next, and nobody who waits is ever put out again.
        """
        if self.count >= limit:
            return False
        waiting = self._callers.get(caller)
        if waiting is None:
            return True
        return len(waiting) < max(1, limit // (len(self._callers) + 1))

    def count_ahead(self, caller: CallerId) -> int:
        """Count the requests that would be released before a new one of this caller."""
        rounds = len(self._callers.get(caller, ())) + 1
        return sum(min(rounds, len(waiting)) for waiting in self._callers.values())

    def push(self, request: Request) -> None:
        """Append a request to its caller's."""
        self._callers.setdefault(request.caller, deque()).append(request)
        self.count += 1

    def pop(self) -> Request:
        """Remove the first request of the caller whose turn it is."""
        caller, waiting = next(iter(self._callers.items()))
        request = waiting.popleft()
        self.count -= 1
        if waiting:
            self._callers.move_to_end(caller)
        else:
            del self._callers[caller]
        return request

    def remove(self, request: Request) -> bool:
        """Remove a request wherever it is; False where it isn't here."""
        waiting = self._callers.get(request.caller)
        if waiting is None or request not in waiting:
            return False
        waiting.remove(request)
        self.count -= 1
        if not waiting:
            del self._callers[request.caller]
        return True

    def list_requests(self) -> list[Request]:
        """List all that wait here."""
        return [request for waiting in self._callers.values() for request in waiting]


class FairQueue:
    """Two lanes, for non-idempotent and idempotent requests.

    The load it is for: demand near and above capacity. The harm: one caller's or one class's burst
    makes all others wait; and a late entry that is refused costs more than a lookup that is
    repeated. So non-idempotent requests have places that lookups can't fill and three turns for
    each lookup's one; the one turn is kept so that lookups don't starve.
    """

    def __init__(self) -> None:
        self._changing = Lane()
        self._lookups = Lane()
        self._turns = 0

    def __len__(self) -> int:
        return self._changing.count + self._lookups.count

    def has_room(self, request: Request, limit: int) -> bool:
        """Tell whether the request may wait, with `limit` places in all."""
        if len(self) >= limit:
            return False
        if request.idempotent:
            return self._lookups.has_room(request.caller, int(limit * LOOKUP_ROOM))
        return self._changing.has_room(request.caller, limit)

    def count_ahead(self, request: Request) -> int:
        """Count the requests of the same lane that would be released before this one."""
        lane = self._lookups if request.idempotent else self._changing
        return lane.count_ahead(request.caller)

    def push(self, request: Request) -> None:
        """Let a request wait."""
        (self._lookups if request.idempotent else self._changing).push(request)

    def pop(self) -> Request:
        """Remove the request whose turn it is; the queue isn't empty."""
        if not self._lookups.count:
            return self._changing.pop()
        if self._changing.count and self._turns < TURNS_FOR_NON_IDEMPOTENT:
            self._turns += 1
            return self._changing.pop()
        self._turns = 0
        return self._lookups.pop()

    def remove(self, request: Request) -> bool:
        """Remove a request that waits; False where it doesn't."""
        return (self._lookups if request.idempotent else self._changing).remove(request)

    def list_requests(self) -> list[Request]:
        """List all that wait."""
        return self._changing.list_requests() + self._lookups.list_requests()
