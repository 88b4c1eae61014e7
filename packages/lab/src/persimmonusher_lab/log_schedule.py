"""A cluster in virtual time with faults armed at chosen messages.

A fault is armed at the n-th message of a kind and hits that message, its sender or its receiver.
The election timeout is 1 s of virtual time. Faults "for hours" last `LONG_FAULT_SECONDS`, a hundred
timeouts, as what matters is how many elections a cut-off keeper could try.
"""

import heapq
from dataclasses import dataclass
from typing import Final

from persimmonusher_agreement.configuration_keeper import (
    DEFAULT_TOLERANCE,
    KeeperOutput,
    LossTolerance,
)
from persimmonusher_agreement.log_messages import (
    AppendReply,
    AppendRequest,
    LogMessage,
    find_instance,
)
from persimmonusher_lab.freshness_invariant import FreshnessInvariant
from persimmonusher_lab.log_cluster import LogCluster
from persimmonusher_lab.log_faults import (
    CLOCK_JUMPS,
    DELAYS,
    DISK_FAULTS,
    RECEIVER_CRASHES,
    SENDER_CRASHES,
    Fault,
    FaultKind,
    Step,
    find_step,
)
from persimmonusher_model.identifiers import Revision

SHORT_FAULT_SECONDS: Final = 4.0
DOWN_SECONDS: Final = (0.05, 0.5, 2.0)
"""How long a crashed keeper is down: shorter than an election, about as long, or longer."""

LONG_FAULT_SECONDS: Final = 100.0
TICK_SECONDS: Final = 0.1
LATENCY_SECONDS: Final = (0.001, 0.02)


@dataclass(order=True)
class _QueuedMessage:
    at: float
    number: int
    message: LogMessage
    lineage: str


class LogSchedule:
    """Runs a cluster in virtual time and keeps a trace of what happened."""

    def __init__(
        self,
        seed: int,
        faults: tuple[Fault, ...] = (),
        tick: float = TICK_SECONDS,
        size: int = 3,
        tolerance: LossTolerance = DEFAULT_TOLERANCE,
    ) -> None:
        self.cluster = LogCluster(seed, size, tolerance=tolerance)
        self._tick_seconds = tick
        self.now = 0.0
        self.freshness = FreshnessInvariant()
        self._has_clock_jumped = False
        self.steps = 0
        self.injected: list[Fault] = []
        self.trace: list[str] = []
        self._armed = list(faults)
        self._counts = dict.fromkeys(Step, 0)
        self._queue: list[_QueuedMessage] = []
        self._message_count = 0
        self._lineage = ""
        self._cut_until: dict[tuple[str, str], float] = {}
        self._delays: dict[tuple[str, str], float] = {}
        self._down_until: dict[str, float] = {}
        self._frozen_until: dict[str, float] = {}
        self._crash_on_receipt: dict[int, FaultKind] = {}
        self._next_tick = dict.fromkeys(self.cluster.keepers, 0.0)

    # Time

    def run(self, seconds: float) -> None:
        """Advance virtual time, delivering what is due and ticking the keepers."""
        end = self.now + seconds
        while True:
            tick_name = min(self._next_tick, key=lambda name: self._next_tick[name])
            tick_at = self._next_tick[tick_name]
            due_at = self._queue[0].at if self._queue else float("inf")
            if min(tick_at, due_at) > end:
                break
            self.now = max(self.now, min(tick_at, due_at))
            if due_at <= tick_at:
                self._deliver(heapq.heappop(self._queue))
            else:
                self._next_tick[tick_name] = tick_at + self._tick_seconds
                self._tick(tick_name)
        self.now = end

    def is_quiet(self) -> bool:
        """Return whether no keeper is down or frozen and no link is cut."""
        ends = [*self._cut_until.values(), *self._down_until.values(), *self._frozen_until.values()]
        return all(end <= self.now for end in ends)

    def disarm(self) -> None:
        """Drop the faults that were not injected yet."""
        self._armed.clear()

    def _tick(self, name: str) -> None:
        if self._frozen_until.get(name, 0.0) > self.now:
            return
        if self.cluster.keepers[name].running is None:
            if self._down_until.get(name, 0.0) <= self.now:
                self._trace_event(f"{name} starts")
                self.cluster.start(name, self.now)
            return
        before = self.cluster.keepers[name].disk.durable
        self.cluster.advance(name, self.now)
        self._send_all(name, before)
        self.cluster.form_if_empty()
        self.cluster.admit_missing(self.now)

    # Messages

    def _deliver(self, queued: _QueuedMessage) -> None:
        name = find_instance(queued.message.target)
        frozen = self._frozen_until.get(name, 0.0)
        if frozen > self.now:
            queued.at = frozen
            heapq.heappush(self._queue, queued)
            return
        source = find_instance(queued.message.source)
        if self._cut_until.get((source, name), 0.0) > self.now:
            return
        self.steps += 1
        before = self.cluster.keepers[name].disk.durable
        self.cluster.deliver(queued.message, queued.lineage, self.now)
        self.trace.append(f"{self.now:9.3f} {_format_message(queued.message)}")
        crash = self._crash_on_receipt.pop(id(queued.message), None)
        if crash is FaultKind.CRASH_RECEIVER_BEFORE_SYNC:
            self.stop(name, self._draw_down_seconds())
        elif crash is FaultKind.CRASH_RECEIVER_AFTER_SYNC:
            self.cluster.flush(name)
            self.stop(name, self._draw_down_seconds())
        else:
            self._send_all(name, before)

    def _send_all(self, name: str, before: object) -> None:
        was_running = self.cluster.keepers[name].running is not None
        output = self.cluster.flush(name)
        self._check_freshness(name, output)
        if was_running and self.cluster.keepers[name].running is None:
            self._trace_event(f"{name} stopped: its disk failed")
            self._down_until[name] = self.now + self._draw_down_seconds()
        self._lineage = output.lineage
        for message in output.messages:
            fault = self._find_fault(message)
            if fault is None:
                self._enqueue(message)
            elif not self._inject(fault, message, before):
                return

    def _check_freshness(self, name: str, output: KeeperOutput) -> None:
        """Check the age that a keeper states, unless a clock jumped: clocks measure the ages."""
        self.freshness.note_verdicts(output.verdicts, self.now)
        keepers = self.cluster.keepers
        self._has_clock_jumped |= any(keeper.clock_offset for keeper in keepers.values())
        running = keepers[name].running
        if running is not None and not self._has_clock_jumped:
            self.freshness.check_keeper(running, self.now)

    def _find_fault(self, message: LogMessage) -> Fault | None:
        step = find_step(message)
        self._counts[step] += 1
        for fault in self._armed:
            if (fault.step, fault.occurrence) == (step, self._counts[step]):
                self._armed.remove(fault)
                self.injected.append(fault)
                return fault
        return None

    def _enqueue(self, message: LogMessage, delay: float = 0.0) -> None:
        self._message_count += 1
        latency = self.cluster.random.uniform(*LATENCY_SECONDS)
        link = (find_instance(message.source), find_instance(message.target))
        delay += self._delays.get(link, 0.0)
        queued = _QueuedMessage(
            self.now + delay + latency, self._message_count, message, self._lineage
        )
        heapq.heappush(self._queue, queued)

    def flush(self, name: str) -> None:
        """Send a keeper's messages after an event from outside, such as a change."""
        self._send_all(name, self.cluster.keepers[name].disk.durable)

    # Faults

    def stop(self, name: str, seconds: float) -> None:
        """Crash a keeper and restart it after `seconds`."""
        self._trace_event(f"{name} crashes for {seconds} s")
        self.cluster.crash(name)
        self._down_until[name] = self.now + seconds

    def _draw_down_seconds(self) -> float:
        return self.cluster.random.choice(DOWN_SECONDS)

    def freeze(self, name: str, seconds: float) -> None:
        """Pause a keeper's process without ending it; messages to it wait."""
        self._trace_event(f"{name} freezes for {seconds} s")
        self._frozen_until[name] = self.now + seconds

    def cut(self, source: str, target: str, seconds: float) -> None:
        """Lose all messages from one keeper to another."""
        self._trace_event(f"{source} -> {target} is cut for {seconds} s")
        self._cut_until[(source, target)] = self.now + seconds

    def slow(self, source: str, target: str, delay_seconds: float) -> None:
        """Delay all later messages from one keeper to another."""
        self._trace_event(f"{source} -> {target} is slowed by {delay_seconds:.2f} s")
        self._delays[(source, target)] = delay_seconds

    def isolate(self, name: str, seconds: float) -> None:
        """Cut a keeper off from all others, both ways."""
        for other in self.cluster.keepers:
            if other != name:
                self.cut(name, other, seconds)
                self.cut(other, name, seconds)

    def wipe(self, name: str, seconds: float = 1.0) -> None:
        """Crash a keeper and restart it with an empty disk after `seconds`."""
        self._trace_event(f"{name} loses its disk")
        self.cluster.wipe(name)
        self._down_until[name] = self.now + seconds

    def _inject(self, fault: Fault, message: LogMessage, before: object) -> bool:
        """Inject a fault; return False if the sender crashed and sends nothing more."""
        self._trace_event(f"fault {fault} at {_format_message(message)}")
        source, target = find_instance(message.source), find_instance(message.target)
        if fault.kind in SENDER_CRASHES:
            if fault.kind is FaultKind.CRASH_SENDER_BEFORE_SYNC:
                self.cluster.keepers[source].disk.durable = before  # type: ignore[assignment]
            self.stop(source, self._draw_down_seconds())
            return False
        if fault.kind is FaultKind.LOST:
            return True
        self._inject_link_fault(fault.kind, message, source, target)
        self._inject_instance_fault(fault.kind, source, target)
        return True

    def _inject_link_fault(
        self, kind: FaultKind, message: LogMessage, source: str, target: str
    ) -> None:
        if kind is FaultKind.CUT_OUT:
            self.cut(source, target, SHORT_FAULT_SECONDS)
        elif kind is FaultKind.CUT_OUT_FOR_HOURS:
            self.cut(source, target, LONG_FAULT_SECONDS)
        elif kind is FaultKind.CUT_BACK:
            self.cut(target, source, SHORT_FAULT_SECONDS)
        if kind in RECEIVER_CRASHES:
            self._crash_on_receipt[id(message)] = kind
        if kind is FaultKind.DUPLICATED:
            self._enqueue(message, 1.5)
        self._enqueue(message, DELAYS.get(kind, 0.0))

    def _inject_instance_fault(self, kind: FaultKind, source: str, target: str) -> None:
        receiver = self.cluster.keepers[target]
        if kind in DISK_FAULTS:
            receiver.disk.fault = DISK_FAULTS[kind]
        elif kind in CLOCK_JUMPS:
            receiver.clock_offset += CLOCK_JUMPS[kind]
        elif kind is FaultKind.WIPE:
            self.wipe(target)
        elif kind is FaultKind.FREEZE_SENDER:
            self.freeze(source, SHORT_FAULT_SECONDS)
        elif kind is FaultKind.FREEZE_RECEIVER:
            self.freeze(target, SHORT_FAULT_SECONDS)
        elif kind is FaultKind.ISOLATE_SENDER:
            self.isolate(source, LONG_FAULT_SECONDS)
        elif kind is FaultKind.ISOLATE_RECEIVER:
            self.isolate(target, LONG_FAULT_SECONDS)

    def _trace_event(self, text: str) -> None:
        self.trace.append(f"{self.now:9.3f} ** {text}")

    # Operators

    def change(self, number: int, operator: str) -> None:
        """Make an operator's change and propose it to all keepers that aren't frozen."""
        change = self.cluster.make_change(number, operator)
        self.ask(change.change_id, change)

    def ask(self, change_id: str, change: object = None) -> None:
        """Propose a change, new or resent, to all keepers in turn, as an operator's client does."""
        wanted = change or self.cluster.changes[change_id]
        for name in self.cluster.keepers:
            if self._frozen_until.get(name, 0.0) > self.now:
                continue
            self.cluster.propose(name, wanted, self.now)  # type: ignore[arg-type]
            self.flush(name)

    def pull(self, entry: int) -> Revision:
        """Let an entry pull from a keeper chosen at random."""
        self.cluster.pull(entry, self.cluster.random.choice(list(self.cluster.keepers)))
        return self.cluster.entries[entry].revision


def _format_message(message: LogMessage) -> str:
    name = type(message).__name__
    head = f"{message.source} -> {message.target} {name} term {message.term}"
    if isinstance(message, AppendRequest):
        return f"{head} after {message.previous_index} entries {len(message.entries)}"
    if isinstance(message, AppendReply):
        return f"{head} {'ok' if message.success else 'refused'} {message.match}"
    return head
