"""A caller's request, read by the listener for callers."""

from dataclasses import dataclass, field

from persimmonusher_model.identifiers import CallerId, RequestId
from persimmonusher_model.organisations import Organisation
from persimmonusher_model.profile import Profile
from persimmonusher_model.routing import RouteRule
from persimmonusher_node.bodies import Body
from persimmonusher_node.caller_reader import CallerReader
from persimmonusher_node.headers import HeaderList
from persimmonusher_node.identification import Identity


@dataclass(frozen=True)
class Call:
    """One request with its body. `arrived` is in monotonic seconds."""

    request_id: RequestId
    caller: CallerId
    request_class: str
    method: str
    host: str
    path: str
    target: str
    """The path and query as the caller wrote them."""
    headers: HeaderList
    arrived: float
    deadline_ms: int | None
    key: str | None
    body: Body = field(default_factory=Body, compare=False)
    reader: CallerReader | None = field(default=None, compare=False)
    """The caller's connection, to detect that the caller has left."""

    rule: RouteRule | None = None
    """The rule of the request's route, if the routing document has it."""

    identity: Identity | None = None
    """The identity behind the API key; None where requests carry no API keys."""

    @property
    def organisation(self) -> Organisation | None:
        """Return the organisation that the request belongs to, if known."""
        return None if self.identity is None else self.identity.organisation

    def find_priority(self) -> int:
        """Return the priority of the organisation, else of the route; 0 is the most urgent."""
        organisation = self.organisation
        if organisation is not None and organisation.priority is not None:
            return organisation.priority
        return 0 if self.rule is None else self.rule.priority

    def is_idempotent(self, profile: Profile) -> bool:
        """Return whether the request may be sent again, by its route's rule or else its profile.

        Requests on routes with large bodies may not.
        """
        if self.body.is_large:
            return False
        if self.rule is not None:
            return self.rule.idempotent
        return profile.is_idempotent(self.method, self.path)

    def find_allowed_ms(self, profile: Profile) -> int:
        """Return the time for the whole answer: the caller's, else the route's or profile's.

        A route's timeout also bounds the caller's deadline.
        """
        longest = profile.deadline_ms if self.rule is None else self.rule.timeout_ms
        if self.deadline_ms is None:
            return longest
        return self.deadline_ms if self.rule is None else min(longest, self.deadline_ms)

    def has_caller_left(self) -> bool:
        """Return, without waiting, whether the caller has closed its connection."""
        return self.reader is not None and self.reader.has_caller_left()
