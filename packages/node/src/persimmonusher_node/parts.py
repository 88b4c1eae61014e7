"""The adapters of the ports that one instance runs with."""

from dataclasses import dataclass

from persimmonusher_model.clock import Clock
from persimmonusher_model.identifiers import FailureDomain, InstanceId
from persimmonusher_node.component import Component
from persimmonusher_node.memory import (
    MemoryClaims,
    MemoryConfiguration,
    MemoryDirectory,
    MemoryMembership,
)
from persimmonusher_node.ports import (
    ConfigurationView,
    Instance,
    KeyClaims,
    Membership,
    ServerDirectory,
)
from persimmonusher_node.settings import Settings


@dataclass(frozen=True)
class Parts:
    """The ports' adapters, and the components among them in the order of their start."""

    view: ConfigurationView
    directory: ServerDirectory
    membership: Membership
    claims: KeyClaims
    components: tuple[Component, ...] = ()


def make_parts(settings: Settings, clock: Clock) -> Parts:
    """Make the adapters that the settings ask for."""
    instance = Instance(
        InstanceId(settings.instance_id),
        FailureDomain(settings.failure_domain),
        settings.listen.peers,
        ("entry",),
    )
    return Parts(
        MemoryConfiguration({}, {}),
        MemoryDirectory(),
        MemoryMembership([instance]),
        MemoryClaims(),
    )
