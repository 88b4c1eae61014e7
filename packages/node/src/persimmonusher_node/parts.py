"""The adapters that implement the ports of one instance."""

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


def make_no_components(services: ServiceBook, records: RecordRing) -> tuple[Component, ...]:
    """Return no components; for an instance that runs alone."""
    return ()


@dataclass(frozen=True)
class Parts:
    """The ports' adapters, and those that are components, in the order in which they start.

    `make_more` makes the components that read the data plane's state, once that exists.
    """

    view: ConfigurationView
    directory: ServerDirectory
    membership: Membership
    claims: KeyClaims
    components: tuple[Component, ...] = ()
    make_more: Callable[[ServiceBook, RecordRing], Sequence[Component]] = make_no_components
    quotas: Quotas = field(default_factory=Unlimited)
