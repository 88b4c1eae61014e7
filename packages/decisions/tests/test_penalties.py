"""Servers that fail or refuse once and are healthy from then on."""

import unittest

from decisions_helpers import dispatched, make_request, make_traffic

from persimmonusher_decisions.work import Outcome, OutcomeKind
from persimmonusher_model.identifiers import ServerId
from persimmonusher_model.profile import Profile

PROFILE = Profile(suspect_ms=4_000)
RETURN_SECONDS = 12.0
"""Four times the time constant of a penalty; the share is counted after it."""
COUNTED_SECONDS = 20.0
MIN_FAIR_SHARE = 0.5
"""Least part of an equal share that a healthy server must get."""
SUCCESS = Outcome(OutcomeKind.SUCCESS, 0.02)
KINDS = (OutcomeKind.REFUSED, OutcomeKind.FAILURE, OutcomeKind.TIMEOUT)


class ReturnTest(unittest.TestCase):
    def find_share(self, kind: OutcomeKind, servers: int, gap: float, at_once: int) -> float:
        """Return a server's work long after its one bad answer, as a part of an equal share."""
        traffic = make_traffic(servers, PROFILE, domain="elsewhere")
        bad = dispatched(traffic.offer(make_request("bad"), 0.0))
        marked = bad.server.server_id
        traffic.finish(bad, Outcome(kind, 0.6), 0.6)
        chosen: list[ServerId] = []
        in_flight = []
        steps = int((RETURN_SECONDS + COUNTED_SECONDS) / gap)
        for number in range(steps):
            now = 1.0 + number * gap
            sent = dispatched(traffic.offer(make_request(f"r{number}", now), now))
            in_flight.append(sent)
            if now > RETURN_SECONDS:
                chosen.append(sent.server.server_id)
            if len(in_flight) >= at_once:
                traffic.finish(in_flight.pop(0), SUCCESS, now + 0.5 * gap)
            traffic.advance(now)
        return chosen.count(marked) * servers / len(chosen)

    # Guards against the remainder of a penalty excluding a server for good while all are idle.
    def test_a_well_server_gets_its_share_again_at_one_request_at_a_time(self) -> None:
        for kind in KINDS:
            with self.subTest(kind=kind):
                self.assertGreater(self.find_share(kind, 3, 0.1, 1), MIN_FAIR_SHARE)

    # Guards against the same when each server gets only one request in half a minute.
    def test_a_well_server_gets_its_share_again_among_many(self) -> None:
        for kind in KINDS:
            with self.subTest(kind=kind):
                self.assertGreater(self.find_share(kind, 149, 0.01, 1), MIN_FAIR_SHARE)

    # Guards against the same while requests are in progress.
    def test_a_well_server_gets_its_share_again_under_load(self) -> None:
        for kind in KINDS:
            with self.subTest(kind=kind):
                self.assertGreater(self.find_share(kind, 6, 0.02, 12), MIN_FAIR_SHARE)


class ReportedLoadTest(unittest.TestCase):
    # Guards against an old load report deciding between idle servers for good.
    def test_an_old_report_does_not_decide_between_idle_servers(self) -> None:
        traffic = make_traffic(3, PROFILE, domain="elsewhere")
        servers = [ServerId(f"s{number}") for number in range(3)]
        traffic.apply_loads({servers[0]: 3, servers[1]: 2, servers[2]: 2})
        chosen = []
        for number in range(400):
            now = 1.0 + 0.1 * number
            sent = dispatched(traffic.offer(make_request(f"r{number}", now), now))
            traffic.finish(sent, SUCCESS, now + 0.02)
            traffic.apply_loads({})
            traffic.advance(now)
            chosen.append(sent.server.server_id)
        late = chosen[-200:]
        for server in servers:
            self.assertGreater(late.count(server), MIN_FAIR_SHARE * len(late) / len(servers))


if __name__ == "__main__":
    unittest.main()
