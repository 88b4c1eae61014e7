from persimmonusher_node import loop

loop.install()

import unittest  # noqa: E402

import eventlet  # noqa: E402

from persimmonusher_model.identifiers import CallerId  # noqa: E402
from persimmonusher_model.organisations import Organisation, RequestQuota  # noqa: E402
from persimmonusher_node.clock import SystemClock  # noqa: E402
from persimmonusher_node.peers import ChannelPool  # noqa: E402
from persimmonusher_node.ports import QuotaVerdict  # noqa: E402
from persimmonusher_node.tiers.keeper_quotas import ASK_TIMEOUT_SECONDS, KeeperQuotas  # noqa: E402

ACME = Organisation(CallerId("acme"), (), None, RequestQuota(5, 5))
MARGIN_SECONDS = 1.0


class KeeperQuotasTest(unittest.TestCase):
    # Guards against requests that wait for ever at an instance without known keepers.
    def test_without_keepers_the_wait_is_bounded(self) -> None:
        with ChannelPool("peers") as channels:
            quotas = KeeperQuotas("e1", list, channels, SystemClock())
            with eventlet.Timeout(ASK_TIMEOUT_SECONDS + MARGIN_SECONDS):
                self.assertIs(quotas.take(ACME), QuotaVerdict.UNKNOWN)
