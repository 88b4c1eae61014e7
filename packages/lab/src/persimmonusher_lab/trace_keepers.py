"""Trace scenarios of keepers: one is isolated, or one loses its disk and a second is lost."""

from collections.abc import Collection
from typing import Final

from persimmonusher_agreement.configuration_objects import Change, ObjectKey, ObjectKind
from persimmonusher_agreement.keeper_members import form_members
from persimmonusher_agreement.log_messages import KeeperId, LogMessage
from persimmonusher_lab.trace import Trace, TraceRecorder
from persimmonusher_lab.trace_machines import LINEAGE
from persimmonusher_model.identifiers import Revision

FIRST_IDENTITIES: Final = {"k1": "k1#a", "k2": "k2#a", "k3": "k3#a"}
STEP_SECONDS: Final = 0.25
ISOLATED_SECONDS: Final = 7_200.0
ISOLATED_STEPS: Final = 150
"""A replica counts a long pause as one bounded step, so this bounds the elections it can try."""


class KeeperFleet:
    """Three keepers with recorded calls, and a network from which a scenario cuts keepers off."""

    def __init__(self, recorder: TraceRecorder) -> None:
        self._recorder = recorder
        self._names = {identity: name for name, identity in FIRST_IDENTITIES.items()}
        self.now = 0.0
        self.cut: set[str] = set()
        members = form_members(
            LINEAGE, {KeeperId(identity): f"{identity}:1" for identity in FIRST_IDENTITIES.values()}
        )
        for seed, (name, identity) in enumerate(FIRST_IDENTITIES.items(), 1):
            recorder.add(name, "keeper", keeper=identity, seed=seed)
            recorder.call(name, "form", members)

    def advance(self, seconds: float, only: Collection[str] = tuple(FIRST_IDENTITIES)) -> None:
        """Advance time in steps and deliver the messages, except from or to cut-off keepers."""
        end = self.now + seconds
        while self.now < end:
            self.now = round(self.now + STEP_SECONDS, 3)
            for name in only:
                self.deliver(name, self._recorder.call(name, "advance", self.now))

    def deliver(self, source: str, messages: Collection[LogMessage]) -> None:
        """Deliver messages and those that they cause, until none is in flight."""
        waiting = [(source, message) for message in messages]
        while waiting:
            sender, message = waiting.pop(0)
            target = self._names.get(message.target)
            if target is None or {sender, target} & self.cut:
                continue
            caused = self._recorder.call(target, "receive", message, self.now)
            waiting.extend((target, answer) for answer in caused)

    def find_leader(self) -> str:
        """Return the keeper that leads and isn't cut off."""
        reachable = [name for name in FIRST_IDENTITIES if name not in self.cut]
        return next(n for n in reachable if self._recorder.call(n, "read_role") == "leader")

    def change(self, change_id: str, based_on: int, states: str) -> None:
        """Propose a change to the leader, deliver the messages, and record its verdict."""
        leader = self.find_leader()
        change = make_change(change_id, based_on)
        self.deliver(leader, self._recorder.call(leader, "propose", change, self.now))
        self._recorder.call(leader, "find_verdict", change_id, states=states)

    def wipe(self, name: str, identity: str) -> None:
        """Restart a keeper with an empty disk, under another identity."""
        self._recorder.call(name, "wipe", identity, self.now)
        self._names[identity] = name


def make_change(
    change_id: str, based_on: int, ramp_ms: int = 1000, operator: str = "ann"
) -> Change:
    """Return a change of the one profile that these scenarios use."""
    key = ObjectKey(ObjectKind.PROFILE, "shows")
    return Change(change_id, operator, key, Revision(based_on), f'{{"ramp_ms": {ramp_ms}}}')


def record_isolated_keeper() -> Trace:
    """Record a keeper that is cut off for hours and returns."""
    recorder = TraceRecorder(
        "configuration: accepted is durable and never reverts",
        "A keeper is cut off for two hours while changes are accepted. It may not raise its term "
        "meanwhile, nor depose the leader when it returns, and it catches up.",
    )
    fleet = KeeperFleet(recorder)
    fleet.advance(4.0)
    fleet.change("c1", 0, "accepted as revision 1")
    leader = fleet.find_leader()
    isolated = next(name for name in FIRST_IDENTITIES if name != leader)
    others = [name for name in FIRST_IDENTITIES if name != isolated]
    fleet.cut = {isolated}
    fleet.change("c2", 1, "accepted by the majority that is left")
    for _ in range(ISOLATED_STEPS):
        fleet.now += ISOLATED_SECONDS / ISOLATED_STEPS
        recorder.call(isolated, "advance", fleet.now)
    recorder.call(isolated, "read_role", states="cut off, it never becomes leader")
    recorder.call(isolated, "read_revision", states="cut off, it has nothing newer")
    fleet.advance(6.0, others)
    leader = fleet.find_leader()
    fleet.cut = set()
    fleet.advance(4.0)
    recorder.call(leader, "read_role", states="the leader isn't deposed by the return")
    recorder.call(isolated, "read_revision", states="the returned keeper caught up")
    fleet.change("c3", 2, "the next change is accepted on top")
    return recorder.trace


def record_wiped_keeper() -> Trace:
    """Record a keeper that restarts on an empty disk, and a second one lost right after."""
    recorder = TraceRecorder(
        "configuration: accepted is durable and never reverts",
        "Two changes are accepted. The leader's disk is replaced by an empty one, and right after "
        "a second keeper is lost. The wiped keeper must not help to elect anyone, so nothing that "
        "was accepted is lost; when the second returns, work goes on.",
    )
    fleet = KeeperFleet(recorder)
    fleet.advance(4.0)
    fleet.change("c1", 0, "accepted as revision 1")
    fleet.change("c2", 1, "accepted as revision 2")
    fleet.advance(1.0)
    wiped = fleet.find_leader()
    lost, kept = (name for name in FIRST_IDENTITIES if name != wiped)
    fleet.wipe(wiped, f"{wiped}#b")
    fleet.cut = {lost}
    fleet.advance(8.0)
    recorder.call(wiped, "read_role", states="an empty keeper leads nobody")
    recorder.call(kept, "read_role", states="without a majority that kept its promises, no leader")
    recorder.call(kept, "read_revision", states="nothing that was accepted is gone")
    fleet.cut = set()
    fleet.advance(6.0)
    fleet.change("c3", 2, "with the second one back, the next change is accepted on top")
    recorder.call(kept, "read_revision")
    return recorder.trace
