"""The faults of simulated keepers, and the kinds of messages at which they are injected."""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from persimmonusher_agreement.log_messages import (
    AppendReply,
    AppendRequest,
    LogMessage,
    PreVoteReply,
    PreVoteRequest,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from persimmonusher_lab.log_disk import DiskFault


class Step(Enum):
    """The kinds of messages between keepers."""

    PRE_VOTE_REQUEST = "pre-vote-request"
    PRE_VOTE_REPLY = "pre-vote-reply"
    VOTE_REQUEST = "vote-request"
    VOTE_REPLY = "vote-reply"
    HEARTBEAT = "heartbeat"
    ENTRIES = "entries"
    APPEND_REPLY = "append-reply"
    SNAPSHOT = "snapshot"


STEPS: Final = {
    PreVoteRequest: Step.PRE_VOTE_REQUEST,
    PreVoteReply: Step.PRE_VOTE_REPLY,
    VoteRequest: Step.VOTE_REQUEST,
    VoteReply: Step.VOTE_REPLY,
    AppendReply: Step.APPEND_REPLY,
    SnapshotRequest: Step.SNAPSHOT,
}


class FaultKind(Enum):
    """What happens to the message, its sender or its receiver."""

    LOST = "lost"
    DELAYED = "delayed"
    DUPLICATED = "duplicated"
    REORDERED = "reordered"
    CUT_OUT = "one-way-cut"
    CUT_BACK = "one-way-cut-back"
    CRASH_SENDER_BEFORE_SYNC = "crash-sender-before-sync"
    CRASH_SENDER_AFTER_SYNC = "crash-sender-after-sync"
    CRASH_RECEIVER_BEFORE_SYNC = "crash-receiver-before-sync"
    CRASH_RECEIVER_AFTER_SYNC = "crash-receiver-after-sync"
    FREEZE_SENDER = "freeze-sender"
    FREEZE_RECEIVER = "freeze-receiver"
    ISOLATE_SENDER = "isolate-sender-for-hours"
    ISOLATE_RECEIVER = "isolate-receiver-for-hours"
    CUT_OUT_FOR_HOURS = "one-way-cut-for-hours"
    DISK_LOST = "disk-error"
    DISK_WRITTEN = "disk-error-after-write"
    DISK_FULL = "disk-full"
    CLOCK_FORWARD = "clock-forward"
    CLOCK_BACK = "clock-back"
    WIPE = "wiped-disk"


@dataclass(frozen=True)
class Fault:
    """A fault at the n-th message of a kind, counted from 1."""

    step: Step
    occurrence: int
    kind: FaultKind

    def __str__(self) -> str:
        return f"{self.step.value}:{self.occurrence}:{self.kind.value}"


SENDER_CRASHES: Final = {FaultKind.CRASH_SENDER_BEFORE_SYNC, FaultKind.CRASH_SENDER_AFTER_SYNC}
RECEIVER_CRASHES: Final = {
    FaultKind.CRASH_RECEIVER_BEFORE_SYNC,
    FaultKind.CRASH_RECEIVER_AFTER_SYNC,
}
DELAYS: Final = {FaultKind.DELAYED: 2.5, FaultKind.REORDERED: 0.1}
"""Seconds by which a message is delayed."""
DISK_FAULTS: Final = {
    FaultKind.DISK_LOST: DiskFault.LOST,
    FaultKind.DISK_WRITTEN: DiskFault.WRITTEN,
    FaultKind.DISK_FULL: DiskFault.FULL,
}
CLOCK_JUMPS: Final = {FaultKind.CLOCK_FORWARD: 3_600.0, FaultKind.CLOCK_BACK: -3_600.0}
"""Seconds by which a clock jumps."""


def find_step(message: LogMessage) -> Step:
    """Return the kind of a message."""
    if isinstance(message, AppendRequest):
        return Step.ENTRIES if message.entries else Step.HEARTBEAT
    return STEPS[type(message)]
