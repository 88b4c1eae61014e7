from persimmonusher_node import loop

loop.install()

import unittest  # noqa: E402
from random import Random  # noqa: E402

import eventlet  # noqa: E402

from persimmonusher_model.identifiers import CallerId  # noqa: E402
from persimmonusher_model.organisations import Organisation, RequestQuota  # noqa: E402
from persimmonusher_node.clock import SystemClock  # noqa: E402
from persimmonusher_node.peers import ChannelPool  # noqa: E402
from persimmonusher_node.ports import QuotaVerdict  # noqa: E402
from persimmonusher_node.tiers.grpc_quotas import GrpcQuotas  # noqa: E402
from persimmonusher_node.tiers.keeper_quotas import KeeperQuotas  # noqa: E402
from persimmonusher_node.tiers.quota_router import ASK_TIMEOUT_SECONDS, QuotaRouter  # noqa: E402

ACME = Organisation(CallerId("acme"), (), None, RequestQuota(5, 5))
MARGIN_SECONDS = 1.0


class KeeperQuotasTest(unittest.TestCase):
    # Guards against requests that wait for ever at an instance without known keepers.
    def test_without_keepers_the_wait_is_bounded(self) -> None:
        clock = SystemClock()
        with ChannelPool("peers") as channels:
            router = QuotaRouter("", list, list, GrpcQuotas(channels), clock, Random(1))
            quotas = KeeperQuotas("e1", router, clock)
            with eventlet.Timeout(ASK_TIMEOUT_SECONDS + MARGIN_SECONDS):
                self.assertIs(quotas.acquire(ACME), QuotaVerdict.UNKNOWN)
