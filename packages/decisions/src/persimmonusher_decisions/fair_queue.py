"""The bounded queue of requests that wait for a server, fair between callers."""

from collections import OrderedDict, deque
from typing import Final

from persimmonusher_decisions.work import Request
from persimmonusher_model.identifiers import CallerId

LOOKUP_PLACES_SHARE: Final = 0.75
"""Part of the queue that idempotent requests may fill; the rest is reserved for others."""
NON_IDEMPOTENT_TURNS: Final = 3
"""Non-idempotent requests released for each idempotent one while both wait."""


class Lane:
    """A FIFO queue for each caller, served round-robin."""

    def __init__(self) -> None:
        self._callers: OrderedDict[CallerId, deque[Request]] = OrderedDict()
        self.count = 0

    def has_room(self, caller: CallerId, limit: int) -> bool:
        """Return whether the caller may queue another request in this lane of `limit` places.

        A caller may use the lane's places divided by the number of waiting callers plus one, which
        leaves room for the next caller, so no waiting request is ever evicted.
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
        """Append a request to its caller's queue."""
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
        """Remove a request from any position; False if it isn't here."""
        waiting = self._callers.get(request.caller)
        if waiting is None or request not in waiting:
            return False
        waiting.remove(request)
        self.count -= 1
        if not waiting:
            del self._callers[request.caller]
        return True

    def list_requests(self) -> list[Request]:
        """List all waiting requests, grouped by caller."""
        return [request for waiting in self._callers.values() for request in waiting]


class FairQueue:
    """Two lanes, for non-idempotent and idempotent requests.

    When demand is near or above capacity, a burst of one caller or class would make all others
    wait; and refusing a request that changes state costs more than repeating a lookup. So
    non-idempotent requests have places that lookups can't fill, and are released three times for
    each lookup; the one release keeps lookups from starving.
    """

    def __init__(self) -> None:
        self._changing = Lane()
        self._lookups = Lane()
        self._turns = 0

    def __len__(self) -> int:
        return self._changing.count + self._lookups.count

    def has_room(self, request: Request, limit: int) -> bool:
        """Return whether the request may be queued, with `limit` places in total."""
        if len(self) >= limit:
            return False
        if request.idempotent:
            return self._lookups.has_room(request.caller, int(limit * LOOKUP_PLACES_SHARE))
        return self._changing.has_room(request.caller, limit)

    def count_ahead(self, request: Request) -> int:
        """Count the requests of the same lane that would be released before this one."""
        lane = self._lookups if request.idempotent else self._changing
        return lane.count_ahead(request.caller)

    def push(self, request: Request) -> None:
        """Append a request to its lane; `has_room` isn't checked again."""
        (self._lookups if request.idempotent else self._changing).push(request)

    def pop(self) -> Request:
        """Remove and return the request whose turn it is; the queue must not be empty."""
        if not self._lookups.count:
            return self._changing.pop()
        if self._changing.count and self._turns < NON_IDEMPOTENT_TURNS:
            self._turns += 1
            return self._changing.pop()
        self._turns = 0
        return self._lookups.pop()

    def remove(self, request: Request) -> bool:
        """Remove a waiting request; False if it isn't in the queue."""
        return (self._lookups if request.idempotent else self._changing).remove(request)

    def list_requests(self) -> list[Request]:
        """List all waiting requests, non-idempotent ones first."""
        return self._changing.list_requests() + self._lookups.list_requests()
