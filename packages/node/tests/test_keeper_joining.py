from persimmonusher_node import loop

loop.install()

import socket  # noqa: E402
import unittest  # noqa: E402
from contextlib import ExitStack  # noqa: E402
from types import SimpleNamespace  # noqa: E402
from typing import Any, cast  # noqa: E402

import eventlet  # noqa: E402
from entry_settings import make_entry_settings  # noqa: E402
from grpclib.server import Stream  # noqa: E402

from persimmonusher_node.clock import SystemClock  # noqa: E402
from persimmonusher_node.grpc_listener import GrpcListener  # noqa: E402
from persimmonusher_node.keeper_joining import KeeperJoining  # noqa: E402
from persimmonusher_node.peers import ChannelPool  # noqa: E402
from persimmonusher_protocol import keeper_pb2 as pb  # noqa: E402
from persimmonusher_protocol.keeper_grpc import KeeperBase  # noqa: E402


class AdmittingKeeper(KeeperBase):
    """Records the keepers that ask it to admit them."""

    def __init__(self) -> None:
        self.asked_by: list[str] = []

    async def Introduce(  # noqa: N802
        self, stream: "Stream[pb.IntroduceRequest, pb.KeeperState]"
    ) -> None:
        request = await stream.recv_message()
        assert request is not None
        if request.join:
            self.asked_by.append(request.keeper)
        await stream.send_message(pb.KeeperState())

    async def Step(self, stream: Any) -> None:  # noqa: N802
        raise NotImplementedError

    Propose = Confirm = ReadHistory = Dismiss = Step


class KeeperJoiningTest(unittest.TestCase):
    # Guards against a keeper that stays out of the log while silent members are asked in turn.
    def test_the_leader_is_asked_at_once_while_other_members_are_silent(self) -> None:
        keeper = AdmittingKeeper()
        with ExitStack() as stack:
            silent = [stack.enter_context(socket.create_server(("127.0.0.1", 0))) for _ in range(2)]
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                address = f"127.0.0.1:{probe.getsockname()[1]}"
            listener = GrpcListener(address, [keeper], {"peers": "peer"})
            listener.start()
            stack.callback(listener.stop)
            channels = stack.enter_context(ChannelPool("peers"))
            settings = make_entry_settings(address)
            role = cast("Any", SimpleNamespace(identity="k9#1"))
            unused = cast("Any", None)
            joining = KeeperJoining(role, settings, channels, SystemClock(), unused, unused)
            members = [f"127.0.0.1:{one.getsockname()[1]}" for one in silent]
            asking = loop.start_coroutine(joining._ask_to_join([*members, address]))
            eventlet.sleep(0.5)
            asking.cancel()
            self.assertEqual(keeper.asked_by, ["k9#1"])


if __name__ == "__main__":
    unittest.main()
