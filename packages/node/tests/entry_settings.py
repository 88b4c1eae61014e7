"""Settings of an entry for tests that call keepers."""

from persimmonusher_node.settings import Listeners, Role, Settings


def make_entry_settings(*seeds: str) -> Settings:
    """Return the settings of an entry in the failure domain "north"."""
    return Settings(
        instance_id="e1",
        failure_domain="north",
        role=Role.ENTRY,
        listen=Listeners(),
        seeds=seeds,
        peer_token="peers",
    )
