"""Proposes one change of the configuration and waits until it is in force."""

import time
import uuid
from dataclasses import dataclass
from typing import Final

from persimmonusher_ctl.client import OperatorClient
from persimmonusher_ctl.exits import Exit
from persimmonusher_ctl.output import Output, fail
from persimmonusher_protocol import operator_pb2 as pb

POLL_INTERVAL_SECONDS: Final = 0.2


@dataclass(frozen=True)
class ChangeOptions:
    """The options that all commands which change an object have in common."""

    change_id: str | None = None
    based_on: int | None = None
    wait_seconds: float = 0.0
    """How long to wait until the change is in force on every instance; 0 doesn't wait."""


def propose(
    client: OperatorClient, output: Output, change: pb.Change, options: ChangeOptions
) -> None:
    """Propose the change and print the verdict; exit the process unless it succeeded.

    The change's own `based_on` is the revision that was just read; `options.based_on` overrides it.
    """
    change.change_id = options.change_id or uuid.uuid4().hex
    if options.based_on is not None:
        change.based_on = options.based_on
    output.print_note(f"change id {change.change_id}, based on revision {change.based_on}")
    reply = client.propose(change)
    if reply.verdict != pb.ACCEPTED:
        _fail_for_verdict(reply, change, output)
    in_force = not options.wait_seconds or wait_in_force(
        client, reply.revision, options.wait_seconds, output
    )
    rows = [[change.change_id, str(reply.revision), "accepted"]]
    output.show(reply, ["CHANGE-ID", "REVISION", "VERDICT"], rows)
    if not in_force:
        fail("accepted and durable, but not in force everywhere in time", Exit.NOT_YET)


def wait_in_force(
    client: OperatorClient, revision: int, wait_seconds: float, output: Output
) -> bool:
    """Wait until every live instance has applied the revision; return False on timeout."""
    started = time.monotonic()
    while True:
        instances = client.list_instances().instances
        behind = [item.instance_id for item in instances if item.revision < revision]
        elapsed = time.monotonic() - started
        if not behind:
            output.print_note(f"in force on all {len(instances)} instances after {elapsed:.2f} s")
            return True
        if elapsed > wait_seconds:
            output.print_note(f"behind after {elapsed:.1f} s: {', '.join(sorted(behind))}")
            return False
        time.sleep(POLL_INTERVAL_SECONDS)


def _fail_for_verdict(reply: pb.ProposeReply, change: pb.Change, output: Output) -> None:
    if output.as_json:
        output.show(reply, [], [])
    if reply.verdict == pb.CONFLICT:
        fail(describe_conflict(reply), Exit.CONFLICT)
    if reply.verdict == pb.REFUSED:
        lines = [f"  {item.path}: {item.message} [{item.code}]" for item in reply.findings]
        codes = {item.code for item in reply.findings}
        code = Exit.NOT_FOUND if codes == {"not-found"} else Exit.REFUSED
        fail("\n".join(["the change was refused", *lines]), code)
    fail(
        f"no verdict: resend with --change-id {change.change_id} --based-on {change.based_on}",
        Exit.UNKNOWN,
    )


def describe_conflict(reply: pb.ProposeReply) -> str:
    """Describe the change that won, so that the operator needs no other command to decide."""
    winner = reply.winner
    now = f"is now {winner.body}" if winner.HasField("body") else "is retired"
    return (
        f"conflict: revision {winner.revision} by {winner.operator_name or 'unknown'} "
        f"(change id {winner.change_id}) came first: {winner.name} {now}"
    )
