"""Keepers and entries that share an organisation's quota, on virtual time, with faults."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Sequence
from dataclasses import dataclass, field
from math import inf
from random import Random
from typing import Final, TypeVar

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from virtual_loop import LoopClock

from persimmonusher_decisions.quota_shares import HELD_SECONDS, QuotaShares, QuotaTerms
from persimmonusher_model.identifiers import CallerId
from persimmonusher_model.organisations import Organisation, RequestQuota
from persimmonusher_node.ports import QuotaVerdict
from persimmonusher_node.tiers.keeper_quotas import KeeperQuotas
from persimmonusher_node.tiers.quota_port import QuotaPort
from persimmonusher_node.tiers.quota_router import QuotaRouter
from persimmonusher_protocol import control_pb2 as pb

T = TypeVar("T")
TERMS: Final = QuotaTerms(window_seconds=5.0, overshoot=0.1, slack=20.0)
NAME: Final = CallerId("acme")
WAY_SECONDS: Final = 0.003
WORK_SECONDS: Final = 0.006
"""Time of an entry's processor for a call of another one, where it has 0.4 of a core."""
NEVER_SECONDS: Final = 3_600.0
STARTED: Final = -60.0
"""When the first keepers started."""


def find_allowed(quota: RequestQuota) -> float:
    """Return how many requests may run within a window."""
    return quota.per_second * TERMS.window_seconds + quota.burst + TERMS.find_slack(quota)


@dataclass(frozen=True)
class Outcome:
    """One request: when it came, the verdict, and when that was known."""

    came: float
    ended: float
    verdict: QuotaVerdict
    is_cut: bool
    """Whether its entry reached no keeper when it came."""


@dataclass
class VirtualEntry:
    address: str
    quotas: KeeperQuotas
    router: QuotaRouter
    quota: RequestQuota
    """The quota in force at this entry."""
    domain: int
    """The keeper that it follows, with which it shares its list of peers."""
    others: list[str] = field(default_factory=list)
    """Entries of other keepers that it knows."""
    is_cut: bool = False
    is_killed: bool = False
    is_frozen: bool = False
    is_old: bool = False
    """Whether its version can't help."""
    busy_until: float = 0.0
    """When its processor is done with the calls that have arrived."""
    forwarded: int = 0
    probed: int = 0


class VirtualQuotas:
    """A fleet whose entries get tokens from keepers over links that may be cut."""

    def __init__(self, quota: RequestQuota, keepers: int, clock: LoopClock, random: Random) -> None:
        self.clock = clock
        self.random = random
        self.quotas: list[tuple[float, RequestQuota]] = [(-inf, quota)]
        self.keepers = [QuotaShares(TERMS, keepers, STARTED) for _ in range(keepers)]
        self.down: set[int] = set()
        self.entries: dict[str, VirtualEntry] = {}
        self.outcomes: list[Outcome] = []

    @property
    def quota(self) -> RequestQuota:
        return self.quotas[-1][1]

    def add_entry(self) -> VirtualEntry:
        address = f"e{len(self.entries)}"
        domain = len(self.entries) % len(self.keepers)
        order = [f"k{(domain + n) % len(self.keepers)}" for n in range(len(self.keepers))]
        calls = VirtualCalls(self, address)
        router = QuotaRouter(
            address,
            lambda: order,
            lambda: self.list_peers(entry),
            calls,
            self.clock,
            Random(self.random.random()),
        )
        quotas = KeeperQuotas(address, router, self.clock)
        entry = VirtualEntry(address, quotas, router, self.quota, domain)
        self.entries[address] = entry
        return entry

    def name_others(self, count: int) -> None:
        """Tell each entry some others, at random, of all keepers."""
        for entry in self.entries.values():
            entry.others = self.random.sample(sorted(self.entries), count)

    def list_peers(self, entry: VirtualEntry) -> Sequence[str]:
        return [
            *(one.address for one in self.entries.values() if one.domain == entry.domain),
            *entry.others,
        ]

    def restart_keeper(self, number: int) -> None:
        self.keepers[number] = QuotaShares(TERMS, len(self.keepers), self.clock.monotonic())
        self.down.discard(number)

    def set_quota(self, quota: RequestQuota) -> None:
        """Put a quota in force at the keepers; cut entries don't learn of it."""
        self.quotas.append((self.clock.monotonic(), quota))
        for entry in self.entries.values():
            if not entry.is_cut:
                entry.quota = quota

    def cut(self, share: float) -> list[VirtualEntry]:
        """Cut a share of the entries off from all keepers, at random, and return them."""
        live = [entry for entry in self.entries.values() if not entry.is_killed]
        chosen = self.random.sample(live, round(share * len(live)))
        for entry in chosen:
            entry.is_cut = True
        return chosen

    def join(self, entries: Sequence[VirtualEntry]) -> None:
        for entry in entries:
            entry.is_cut = False
            entry.quota = self.quota

    async def send_requests(self, per_second: float, until: float) -> None:
        """Send requests to random entries that are running."""
        running: set[asyncio.Task[None]] = set()
        while self.clock.monotonic() < until:
            await asyncio.sleep(self.random.expovariate(per_second))
            live = [e for e in self.entries.values() if not e.is_killed and not e.is_frozen]
            task = asyncio.ensure_future(self._request(self.random.choice(live)))
            running.add(task)
            task.add_done_callback(running.discard)
        if running:
            await asyncio.wait(running)

    async def _request(self, entry: VirtualEntry) -> None:
        came, is_cut = self.clock.monotonic(), entry.is_cut
        asking = entry.quotas.use_held(Organisation(NAME, (), None, entry.quota))
        verdict = QuotaVerdict.GRANTED if asking is None else await asking
        if not entry.is_killed:
            self.outcomes.append(Outcome(came, self.clock.monotonic(), verdict, is_cut))

    def find_excess(self) -> float:
        """Return by how much any window exceeds what the quotas in force allowed; 0 if none does.

        A quota binds once the tokens that were held under the former one have expired.
        """
        window: deque[float] = deque()
        worst = 0.0
        for moment in sorted(o.ended for o in self.outcomes if o.verdict is QuotaVerdict.GRANTED):
            window.append(moment)
            while window[0] <= moment - TERMS.window_seconds:
                window.popleft()
            since = moment - TERMS.window_seconds - HELD_SECONDS
            ends = [began for began, _ in self.quotas[1:]] + [inf]
            allowed = max(
                find_allowed(quota)
                for (began, quota), end in zip(self.quotas, ends, strict=True)
                if end > since and began <= moment
            )
            worst = max(worst, len(window) - allowed)
        return worst

    async def grant(self, number: int, request: pb.QuotaRequest) -> pb.QuotaReply:
        """Grant tokens as a keeper does, with loans of the others."""
        name, quota, now = CallerId(request.organisation), self.quota, self.clock.monotonic()
        shares = self.keepers[number]
        if request.ahead_only:
            grant = shares.grant_ahead(name, quota, request.holder, now)
            return pb.QuotaReply(granted=grant.now, ahead=grant.ahead)
        grant = shares.grant(name, quota, request.holder, now)
        if not grant.now:
            await asyncio.sleep(2 * WAY_SECONDS)
            now = self.clock.monotonic()
            others = [k for k in range(len(self.keepers)) if k != number and k not in self.down]
            lent = sum(self.keepers[k].lend(name, quota, now) for k in others)
            shares.add(name, quota, lent, now)
            grant = shares.grant(name, quota, request.holder, now)
        return pb.QuotaReply(granted=grant.now, ahead=grant.ahead)


class VirtualCalls(QuotaPort):
    """One entry's calls. What has arrived is carried out, even if its answer gets lost."""

    def __init__(self, fleet: VirtualQuotas, address: str) -> None:
        self._fleet = fleet
        self._address = address

    async def take(self, keeper: str, request: pb.QuotaRequest, timeout: float) -> pb.QuotaReply:
        number = int(keeper[1:])
        async with asyncio.timeout(timeout):
            await self._reach(number)
            reply = await _complete(self._fleet.grant(number, request))
            await self._reach(number)
            return reply

    async def check(self, keeper: str, timeout: float) -> bool:
        async with asyncio.timeout(timeout):
            await self._reach(int(keeper[1:]))
            await self._reach(int(keeper[1:]))
            return True

    async def take_through(
        self, peer: str, request: pb.QuotaRequest, timeout: float
    ) -> pb.QuotaReply:
        async with asyncio.timeout(timeout):
            await asyncio.sleep(WAY_SECONDS)
            entry = self._fleet.entries[peer]
            if entry.is_killed:
                raise ConnectionRefusedError(peer)
            if entry.is_old:
                raise GRPCError(Status.UNIMPLEMENTED)
            return await _complete(self._serve(entry, request))

    async def _serve(self, entry: VirtualEntry, request: pb.QuotaRequest) -> pb.QuotaReply:
        if request.organisation:
            entry.forwarded += 1
        else:
            entry.probed += 1
        while entry.is_frozen:
            await asyncio.sleep(0.05)
        now = self._fleet.clock.monotonic()
        entry.busy_until = max(now, entry.busy_until) + WORK_SECONDS
        await asyncio.sleep(entry.busy_until - now)
        reply = await entry.router.take_for_peer(request)
        while entry.is_frozen:
            await asyncio.sleep(0.05)
        await asyncio.sleep(NEVER_SECONDS if entry.is_killed else WAY_SECONDS)
        return reply

    async def _reach(self, number: int) -> None:
        """Take one way between the entry and a keeper; a cut one is silent."""
        await asyncio.sleep(WAY_SECONDS * self._fleet.random.uniform(0.5, 2.0))
        entry = self._fleet.entries[self._address]
        if entry.is_cut or entry.is_killed:
            await asyncio.sleep(NEVER_SECONDS)
        if number in self._fleet.down:
            raise ConnectionRefusedError(number)


async def _complete(work: Awaitable[T]) -> T:
    """Wait for work that goes on if the caller gives up."""
    return await asyncio.shield(asyncio.ensure_future(work))
