"""Commands that report the fleet's state."""

from collections.abc import Iterable
from typing import Annotated

import typer

from persimmonusher_ctl.context import get_context
from persimmonusher_ctl.exits import Exit
from persimmonusher_ctl.output import exit_on_error, fail
from persimmonusher_protocol import operator_pb2 as pb


def list_servers(
    context: typer.Context,
    service: Annotated[str, typer.Option(help="Only this service.")] = "",
    each_instance: Annotated[
        bool, typer.Option("--each", help="One line for each instance's view.")
    ] = False,
) -> None:
    """List backend servers: state, how many instances send them requests, and why others don't."""
    with exit_on_error():
        common = get_context(context)
        found = common.client.list_servers(service)
        rows = [row for item in found.servers for row in _list_rows(item, each_instance)]
        header = ["SERVICE", "SERVER", "ADDRESS", "DOMAIN", "STATE", "TAKING", "REASON"]
        common.output.show(found, header, rows)
        if found.silent_instances:
            common.output.print_note(f"no answer from {', '.join(found.silent_instances)}")


def _list_rows(item: pb.ServerEntry, each_instance: bool) -> Iterable[list[str]]:
    head = [item.service, item.server_id, item.address, item.failure_domain, item.state]
    if each_instance:
        for view in item.views:
            taking = "yes" if view.taking_work else "no"
            yield [*head, f"{view.instance_id}:{taking}", view.reason]
        return
    taking_views = [view for view in item.views if view.taking_work]
    reasons = dict.fromkeys(view.reason for view in item.views if not view.taking_work)
    yield [*head, f"{len(taking_views)}/{len(item.views)}", "; ".join(reasons) or "-"]


def list_instances(context: typer.Context) -> None:
    """List live instances and the revision each has applied."""
    with exit_on_error():
        common = get_context(context)
        found = common.client.list_instances()
        rows = [
            [
                item.instance_id,
                item.failure_domain,
                item.peer_address,
                ",".join(item.roles),
                str(item.revision) if item.answered else f"{item.revision} (no answer)",
            ]
            for item in found.instances
        ]
        common.output.show(found, ["INSTANCE", "DOMAIN", "PEERS", "ROLES", "REVISION"], rows)


keepers = typer.Typer(help="List the keepers, or dismiss one.", invoke_without_command=True)


@keepers.callback()
def list_keepers(context: typer.Context) -> None:
    """List the keepers of the configuration log."""
    if context.invoked_subcommand is not None:
        return
    with exit_on_error():
        common = get_context(context)
        found = common.client.list_keepers()
        rows = [
            [
                item.keeper or item.instance_id or "-",
                item.peer_address,
                item.role,
                str(item.term),
                str(item.last_index),
                str(item.committed_index),
                item.failure or "-",
            ]
            for item in found.keepers
        ]
        header = ["KEEPER", "ADDRESS", "ROLE", "TERM", "LAST", "COMMITTED", "FAILURE"]
        common.output.show(found, header, rows)


@keepers.command()
def dismiss(
    context: typer.Context,
    keeper: Annotated[str, typer.Argument(help="INSTANCE#DISK, as `keepers` shows it.")],
) -> None:
    """Remove a keeper that will never return, so that it no longer counts for a majority."""
    with exit_on_error():
        common = get_context(context)
        common.client.dismiss_keeper(keeper)
        common.output.print_note(f"{keeper} is dismissed")


def explain(context: typer.Context, request_id: str) -> None:
    """Show what was decided for a request, where, and why."""
    with exit_on_error():
        common = get_context(context)
        found = common.client.explain(request_id)
        rows = [
            [item.at, item.instance_id, item.decision, item.server_id or "-", item.reason]
            for item in found.events
        ]
        header = ["AT", "INSTANCE", "DECISION", "SERVER", "REASON"]
        common.output.show(found, header, rows)
        if found.silent_instances:
            common.output.print_note(f"no answer from {', '.join(found.silent_instances)}")
        if not found.events:
            fail(f"no instance remembers request {request_id!r}", Exit.NOT_FOUND)
