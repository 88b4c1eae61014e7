"""What a keeper knows of the work in progress and its costs, and the messages that carry it."""

from collections.abc import Callable, Mapping
from math import ceil
from typing import Final

from persimmonusher_decisions.server_work import WorkInProgress
from persimmonusher_node.tiers.cost_sums import CostQueue, CostSums
from persimmonusher_node.tiers.load_wire import (
    decode_sample,
    encode_sample,
    pack_loads,
    to_milliseconds,
    unpack_loads,
)
from persimmonusher_node.tiers.message_delays import MessageDelays, make_send_time
from persimmonusher_node.tiers.work_book import EntryReport, WorkBook, WorkSums
from persimmonusher_protocol import control_pb2 as pb

MAX_FOLLOWER_LOAD_BYTES: Final = 700
"""Loads in one update to a follower: there are two a second, and with the costs and the rest of
the messages these are below 2 KB/s for each follower."""
MAX_FOLLOWER_COST_BYTES: Final = 250
"""Costs in one update to a follower."""
MAX_KEEPER_LOAD_BYTES: Final = 2_800
"""Loads in one message to another keeper: four times what a follower is sent, so that the fleet's
busiest servers are among them even if each keeper's followers use different ones."""
MAX_KEEPER_COST_BYTES: Final = 1_000
"""Costs in one message to another keeper."""


class FleetWork:
    """Takes the messages of entries and keepers, and makes those to them; there is no I/O here."""

    def __init__(self, run: int) -> None:
        """Take a number that differs from those of this keeper's other processes."""
        self._run = run
        self._book = WorkBook()
        self._costs = CostSums()
        self._unshared = CostQueue()
        self._delays = MessageDelays()

    def record_report(self, report: pb.LoadReport, requests: Mapping[str, int], now: float) -> None:
        """Record an entry's report, of which `requests` are the requests in progress by server."""
        taken_at = now - self._find_delay(f"entry {report.instance}", report, now)
        work = {load.server: load.work_ms / 1000.0 for load in report.loads if load.work_ms}
        self._book.record_report(report.instance, EntryReport(requests, work, taken_at))
        samples = [decode_sample(sample) for sample in report.costs]
        self._costs.add(samples, now)
        self._unshared.add(samples)

    def record_sums(self, sums: pb.LoadSums, now: float) -> None:
        """Record another keeper's sums; a message that can't be read is ignored."""
        work = unpack_loads(sums.loads, sums.packed_loads)
        if work is None:
            return
        sent_at = now - self._find_delay(f"keeper {sums.keeper}", sums, now)
        entries = {
            entry: sent_at - age_ms / 1000.0
            for entry, age_ms in zip(sums.entries, sums.entry_ages_ms, strict=False)
        }
        taken_at = sent_at - sums.age_ms / 1000.0
        left_out = sums.left_out_ms / 1000.0
        self._book.record_sums(sums.keeper, WorkSums(work, taken_at, entries, left_out), sent_at)
        self._costs.add(map(decode_sample, sums.costs), now)

    def make_sums(self, keeper: str, now: float) -> pb.LoadSums | None:
        """Return this keeper's message to the others; None while no follower reports work."""
        own = self._book.sum_followers(now)
        if own is None:
            return None
        packed = pack_loads(own.work, MAX_KEEPER_LOAD_BYTES)
        return pb.LoadSums(
            keeper=keeper,
            loads=packed.loads,
            packed_loads=packed.table,
            left_out_ms=packed.left_out_ms,
            costs=map(encode_sample, self._unshared.pop(MAX_KEEPER_COST_BYTES)),
            sent=make_send_time(self._run, now),
            age_ms=to_age_ms(now - own.taken_at),
            entries=own.entries.keys(),
            entry_ages_ms=(to_age_ms(now - taken_at) for taken_at in own.entries.values()),
        )

    def add_loads(
        self, update: pb.FollowUpdate, is_wanted: Callable[[str], bool], now: float
    ) -> None:
        """Add the fleet's work at the wanted servers to an update; nothing if nobody reports."""
        sums = self._book.sum_fleet(now)
        if sums is None:
            return
        wanted: dict[str, WorkInProgress] = {
            server: work for server, work in sums.work.items() if is_wanted(server)
        }
        packed = pack_loads(wanted, MAX_FOLLOWER_LOAD_BYTES)
        update.has_fleet_loads = True
        update.fleet_loads.extend(packed.loads)
        update.packed_fleet_loads = packed.table
        update.fleet_loads_left_out_ms = max(
            packed.left_out_ms, to_milliseconds(sums.left_out) if sums.left_out else 0
        )
        update.fleet_loads_age_ms = to_age_ms(now - sums.taken_at)
        update.sent.CopyFrom(make_send_time(self._run, now))

    def make_costs(self, since: int) -> tuple[pb.FollowUpdate | None, int]:
        """Return an update of the costs that changed since a version, or None if none did.

        Also returns the version up to which it goes.
        """
        if since == self._costs.version:
            return None, since
        changed, version = self._costs.list_changed(since, MAX_FOLLOWER_COST_BYTES)
        if not changed:
            return None, version
        return pb.FollowUpdate(costs=map(encode_sample, changed)), version

    def describe(self, now: float) -> tuple[float, int]:
        """Return the age of the fleet's sums and their number of servers; zeros without any."""
        sums = self._book.sum_fleet(now)
        return (0.0, 0) if sums is None else (now - sums.taken_at, len(sums.work))

    def _find_delay(self, sender: str, message: pb.LoadReport | pb.LoadSums, now: float) -> float:
        if not message.HasField("sent"):
            return 0.0
        sent = message.sent
        return self._delays.find_delay(sender, sent.run, sent.milliseconds / 1000.0, now)


def to_age_ms(seconds: float) -> int:
    """Return an age for the wire, rounded up."""
    return max(0, ceil(seconds * 1000.0))
