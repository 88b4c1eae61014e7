"""The adapters of the ports that one instance runs with."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from persimmonusher_node.component import Component
from persimmonusher_node.ports import (
    ConfigurationView,
    KeyClaims,
    Membership,
    Quotas,
    ServerDirectory,
    Unlimited,
)
from persimmonusher_node.records import RecordRing
from persimmonusher_node.services import ServiceBook


def make_no_more(services: ServiceBook, records: RecordRing) -> tuple[Component, ...]:
    """Make no components, for an instance that runs alone."""
    return ()


@dataclass(frozen=True)
class Parts:
    """The ports' adapters, and the components among them in the order of their start.

    `make_more` makes the components that look into the data plane, once it is there.
    """

    view: ConfigurationView
    directory: ServerDirectory
    membership: Membership
    claims: KeyClaims
    components: tuple[Component, ...] = ()
    make_more: Callable[[ServiceBook, RecordRing], Sequence[Component]] = make_no_more
    quotas: Quotas = field(default_factory=Unlimited)
