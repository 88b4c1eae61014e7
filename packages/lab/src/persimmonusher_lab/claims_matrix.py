"""The fault matrix of key claims: every message step under every fault, alone and in pairs.

A small network of registers and claimants runs on virtual time. Each message is a step; a fault is
laid on one step, or on two. After every step the invariants are checked: at most one token is
granted for a key, and only the token that was granted may finish. Each case prints its seed, and
`python -m persimmonusher_lab.claims_matrix --seed N` replays it with its trace.
"""

import argparse
import itertools
import sys
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Final, TypeAlias

from persimmonusher_agreement.claims import (
    ClaimRequest,
    ClaimRound,
    RecordState,
    RoundStatus,
    Settlement,
    ShareAnswer,
    ShareRequest,
    Vote,
)
from persimmonusher_agreement.register import Register
from persimmonusher_agreement.roster import Member, Roster
from persimmonusher_model.identifiers import FailureDomain, InstanceId

KEY: Final = "key"
WINDOW_SECONDS: Final = 600.0
REGISTERS: Final = 7
"""Two more than a key's registers, so that a change of roster moves some of them."""
CLAIMANTS: Final = 4
STORM_FAULTS: Final = 12
"""Faults in a storm: enough that a register and its peers restart during one claim."""
STEPS: Final = 120
STEP_SECONDS: Final = 0.01
ISOLATION_STEPS: Final = 40


RegisterType: TypeAlias = Callable[[InstanceId, int, float, float], Register]
RoundType: TypeAlias = Callable[[ClaimRequest, Roster], ClaimRound]


class Fault(Enum):
    """What happens to the message of one step, or to the register it goes to."""

    LOST = "lost"
    DELAYED = "delayed"
    DUPLICATED = "duplicated"
    REORDERED = "reordered"
    ONE_WAY_CUT = "one-way-cut"
    CRASH = "crash"
    CRASH_AFTER = "crash-after"
    FREEZE = "freeze"
    ISOLATED = "isolated"
    ROSTER_CHANGE = "roster-change"


@dataclass(frozen=True)
class Violation:
    """A broken invariant, with the trace that led to it."""

    seed: int
    message: str
    trace: tuple[str, ...]


@dataclass
class _Message:
    sender: InstanceId
    receiver: InstanceId
    body: ClaimRequest | Settlement | ShareRequest | ShareAnswer | Vote
    due: int


@dataclass
class Scenario:
    """One run: registers, claimants, a network, and the faults laid on its steps."""

    seed: int
    faults: dict[int, Fault]
    register_type: RegisterType = Register
    round_type: RoundType = ClaimRound
    trace: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._random = Random(self.seed)
        self._now = 0.0
        self._step = 0
        self._names = [InstanceId(f"entry-{number}") for number in range(REGISTERS)]
        self._boots = dict.fromkeys(self._names, 1)
        members = tuple(self._make_member(name) for name in self._names[:5])
        self._roster = Roster(1, members)
        self._registers = {name: self._start_register(name) for name in self._names}
        self._rounds: dict[str, ClaimRound] = {}
        self._owners: dict[str, InstanceId] = {}
        self._granted: set[str] = set()
        self._dispatched: list[str] = []
        self._messages: list[_Message] = []
        self._blocked: dict[tuple[InstanceId | None, InstanceId | None], int] = {}
        self._frozen: dict[InstanceId, int] = {}

    def run(self) -> Violation | None:
        """Run all steps; return the first broken invariant."""
        starts = {self._random.randrange(STEPS // 2): number for number in range(CLAIMANTS)}
        for self._step in range(STEPS):
            self._now += STEP_SECONDS
            if self._step in starts:
                self._start_claim(starts[self._step])
            self._read_shares()
            self._deliver_one()
            if len(self._granted) > 1:
                message = f"granted twice: {', '.join(sorted(self._granted))}"
                return Violation(self.seed, message, tuple(self.trace))
        return None

    @property
    def grants(self) -> int:
        """Return how many claims were granted."""
        return len(self._granted)

    def _make_member(self, name: InstanceId) -> Member:
        domain = FailureDomain(f"domain-{self._names.index(name) % 4}")
        return Member(name, domain, self._boots[name])

    def _start_register(self, name: InstanceId) -> Register:
        register = self.register_type(name, self._boots[name], WINDOW_SECONDS, self._now)
        register.replace_roster(self._roster)
        return register

    def _start_claim(self, number: int) -> None:
        owner = self._names[number]
        token = f"{owner}:{self._boots[owner]}:{self._step}"
        version = self._registers[owner].roster
        assert version is not None
        request = ClaimRequest(KEY, token, "work", version.version, WINDOW_SECONDS, 10.0)
        claim_round = self.round_type(request, version)
        self._rounds[token] = claim_round
        self._owners[token] = owner
        self._note(f"{token} starts under roster {version.version}")
        for register in sorted(claim_round.registers):
            self._send(owner, register, request)

    def _read_shares(self) -> None:
        for name, register in self._registers.items():
            if register.needs_share(self._now) and self._step % 5 == 0:
                for peer in register.list_unread_peers():
                    self._send(name, peer, register.make_share_request())

    def _send(
        self,
        sender: InstanceId,
        receiver: InstanceId,
        body: ClaimRequest | Settlement | ShareRequest | ShareAnswer | Vote,
    ) -> None:
        due = self._step + self._random.randint(0, 6)
        self._messages.append(_Message(sender, receiver, body, due))

    def _deliver_one(self) -> None:
        due = [message for message in self._messages if message.due <= self._step]
        due = [m for m in due if self._frozen.get(m.receiver, -1) < self._step]
        count = min(len(due), 3)
        for message in self._random.sample(due, count):
            self._messages.remove(message)
            fault = self.faults.pop(self._step, None)
            if self._is_cut(message):
                self._note(f"cut: {message.sender} to {message.receiver}")
            elif fault is None or self._apply(fault, message):
                self._receive(message)
                if fault is Fault.CRASH_AFTER:
                    self._restart(message.receiver)

    def _is_cut(self, message: _Message) -> bool:
        pairs = [
            (message.sender, message.receiver),
            (message.sender, None),
            (None, message.receiver),
        ]
        return any(self._blocked.get(pair, -1) >= self._step for pair in pairs)

    def _apply(self, fault: Fault, message: _Message) -> bool:
        """Lay the fault; return whether the message is still delivered now."""
        self._note(f"{fault.value} at {message.sender} to {message.receiver}")
        until = self._step + ISOLATION_STEPS
        receiver = message.receiver
        if fault is Fault.LOST:
            return False
        if fault in (Fault.DELAYED, Fault.REORDERED):
            wait = ISOLATION_STEPS if fault is Fault.DELAYED else 3
            self._messages.append(
                _Message(message.sender, receiver, message.body, self._step + wait)
            )
            return False
        if fault is Fault.DUPLICATED:
            copy = _Message(message.sender, receiver, message.body, self._step + 10)
            self._messages.append(copy)
        elif fault is Fault.ONE_WAY_CUT:
            self._blocked[(message.sender, receiver)] = until
            return False
        elif fault is Fault.ISOLATED:
            self._blocked[(None, receiver)] = until
            self._blocked[(receiver, None)] = until
            return False
        elif fault is Fault.CRASH:
            self._restart(receiver)
            return False
        elif fault is Fault.FREEZE:
            self._frozen[receiver] = until
        elif fault is Fault.ROSTER_CHANGE:
            self._change_roster()
        return True

    def _restart(self, name: InstanceId) -> None:
        self._boots[name] += 1
        self._registers[name] = self._start_register(name)
        for token, owner in self._owners.items():
            if owner == name:
                # The claimant's memory is gone too; its grants stay behind at the registers.
                self._rounds.pop(token, None)
        self._note(f"{name} restarts")

    def _change_roster(self) -> None:
        if self._roster.version > 1:
            return
        names = self._random.sample(self._names, 5)
        members = tuple(self._make_member(name) for name in sorted(names))
        known = {member.instance_id: member for member in self._roster.members}
        members = tuple(known.get(member.instance_id, member) for member in members)
        self._roster = Roster(2, members, self._roster.members)
        knowing = self._random.sample(self._names, self._random.randint(1, REGISTERS))
        for name in knowing:
            self._registers[name].replace_roster(self._roster)
        self._note(f"roster 2 is known to {len(knowing)}")

    def _receive(self, message: _Message) -> None:
        register = self._registers[message.receiver]
        body = message.body
        if isinstance(body, ClaimRequest):
            vote = register.claim(body, self._now)
            self._note(f"{message.receiver}: {body.token} {vote.kind.value}")
            self._send(message.receiver, message.sender, vote)
        elif isinstance(body, Settlement):
            register.settle(body, self._now)
        elif isinstance(body, ShareRequest):
            self._send(message.receiver, message.sender, register.export_share(body, self._now))
        elif isinstance(body, ShareAnswer):
            register.import_share(body, self._now)
        else:
            self._count_vote(message.receiver, body)

    def _count_vote(self, owner: InstanceId, vote: Vote) -> None:
        for token, claim_round in list(self._rounds.items()):
            if self._owners[token] != owner or token in self._granted:
                continue
            status = claim_round.receive(vote)
            if status is RoundStatus.GRANTED:
                self._granted.add(token)
                self._note(f"{token} is granted")
                self._settle(claim_round, token, self._random.choice(list(RecordState)))
            elif status in (RoundStatus.TAKEN, RoundStatus.NO_QUORUM):
                self._note(f"{token} gives up: {status.value}")
                self._rounds.pop(token)
                self._settle(claim_round, token, None)

    def _settle(self, claim_round: ClaimRound, token: str, state: RecordState | None) -> None:
        if state is RecordState.PENDING:
            return
        for register in sorted(claim_round.registers):
            self._send(self._owners[token], register, Settlement(KEY, token, state, b"answer"))

    def _note(self, line: str) -> None:
        self.trace.append(f"{self._step:3} {line}")


@dataclass(frozen=True)
class MatrixReport:
    """What a run of the matrix covered and found."""

    cases: int
    pairs: int
    grants: int
    violations: tuple[Violation, ...]


def make_cases(seeds: Iterable[int]) -> Iterable[tuple[int, dict[int, Fault]]]:
    """Lay each fault, and each ordered pair of faults, on steps that the seed picks."""
    faults = list(Fault)
    plans: list[tuple[Fault, ...]] = [(fault,) for fault in faults]
    plans.extend(itertools.product(faults, faults))
    for seed in seeds:
        random = Random(seed)
        for plan in plans:
            yield seed, {random.randrange(STEPS): fault for fault in plan}


def make_storms(seeds: Iterable[int]) -> Iterable[tuple[int, dict[int, Fault]]]:
    """Lay many random faults on each seed's run."""
    for seed in seeds:
        random = Random(seed)
        steps = random.sample(range(STEPS), STORM_FAULTS)
        yield seed, {step: random.choice(list(Fault)) for step in steps}


def find_storm(
    seeds: Iterable[int],
    register_type: RegisterType = Register,
    round_type: RoundType = ClaimRound,
) -> Violation | None:
    """Return the first violation in storms of faults, or None."""
    for seed, faults in make_storms(seeds):
        violation = Scenario(seed, faults, register_type, round_type).run()
        if violation is not None:
            return violation
    return None


def run_matrix(seeds: Iterable[int]) -> MatrixReport:
    """Run all single faults and pairs for each seed."""
    cases = 0
    grants = 0
    violations = []
    for number, (seed, faults) in enumerate(make_cases(seeds)):
        scenario = Scenario(seed * 1_000 + number % 1_000, dict(faults))
        violation = scenario.run()
        cases += 1
        grants += scenario.grants
        if violation is not None:
            violations.append(violation)
    pairs = len(Fault) ** 2
    return MatrixReport(cases, pairs, grants, tuple(violations))


def main() -> int:
    """Run the matrix for a range of seeds and print what it found."""
    parser = argparse.ArgumentParser(description="Run the fault matrix of key claims.")
    parser.add_argument("--seeds", type=int, default=20, help="how many seeds to run")
    parser.add_argument("--first", type=int, default=0, help="the first seed")
    options = parser.parse_args()
    report = run_matrix(range(options.first, options.first + options.seeds))
    for violation in report.violations:
        print(f"seed {violation.seed}: {violation.message}")
        print("\n".join(violation.trace))
    storm = find_storm(range(options.first, options.first + 100 * options.seeds))
    if storm is not None:
        print(f"storm of seed {storm.seed}: {storm.message}")
        print("\n".join(storm.trace))
    found = len(report.violations) + (storm is not None)
    print(f"{100 * options.seeds} storms of {STORM_FAULTS} faults")
    print(f"{report.cases} cases, {report.pairs} pairs, {report.grants} grants, {found} violations")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
