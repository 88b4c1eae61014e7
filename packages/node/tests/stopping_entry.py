"""Base of tests that stop one entry with a scripted server."""

from entry_harness import EntryTestCase

from persimmonusher_node.clock import SystemClock
from persimmonusher_node.settings import Listeners, Settings
from persimmonusher_node.shutdown import GracefulStop

STOP_DELAY_SECONDS = 0.2


class StoppingEntryTestCase(EntryTestCase):
    """Starts one entry with one server; `make_stop` makes its graceful stop."""

    server_names = ("s1",)

    def make_stop(self, stop_seconds: float) -> GracefulStop:
        """Return a stop that closes the listener after STOP_DELAY_SECONDS."""
        settings = Settings(
            instance_id="e1",
            failure_domain="a",
            listen=Listeners(**dict.fromkeys(Listeners.model_fields, "127.0.0.1:0")),
            peer_token="secret",
            stop_delay_seconds=STOP_DELAY_SECONDS,
            stop_seconds=stop_seconds,
        )
        return GracefulStop(settings, self.listener, self.plane.forwarder, SystemClock())
