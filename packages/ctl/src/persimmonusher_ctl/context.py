"""The client and output that all commands share, made from the common options."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import typer

from persimmonusher_ctl.changes import ChangeOptions
from persimmonusher_ctl.client import OperatorClient
from persimmonusher_ctl.connection import ConnectionOptions, read_connection
from persimmonusher_ctl.output import Output

AsJson = Annotated[bool, typer.Option("--json", help="Print JSON for programs.")]
SettingsFile = Annotated[
    Path | None,
    typer.Option("--settings", help="File with addresses and token, JSON with comments."),
]
Addresses = Annotated[
    str | None,
    typer.Option("--addresses", help="Operators' listeners, ip:port, comma-separated."),
]
ChangeId = Annotated[
    str | None,
    typer.Option("--change-id", help="Id of this change, kept in resends; default: a new one."),
]
BasedOn = Annotated[
    int | None,
    typer.Option("--based-on", help="Object's revision you decided on; default the one just read."),
]
Wait = Annotated[
    float,
    typer.Option("--wait", help="Wait up to this many seconds until in force everywhere."),
]


@dataclass(frozen=True)
class Context:
    """The client and output of one invocation."""

    client: OperatorClient
    output: Output


def make_context(connection: ConnectionOptions, as_json: bool) -> Context:
    """Read the connection settings and make the client; raise UsherError with all findings."""
    settings = read_connection(connection)
    return Context(OperatorClient(settings.addresses, settings.token), Output(as_json))


def get_context(context: typer.Context) -> Context:
    """Return the command's context; made only when a command runs, so that help needs no token."""
    prepared: CommonOptions = context.obj
    return make_context(prepared.connection, prepared.as_json)


@dataclass(frozen=True)
class CommonOptions:
    """The options that precede the command's name."""

    connection: ConnectionOptions
    as_json: bool


def make_change_options(change_id: str | None, based_on: int | None, wait: float) -> ChangeOptions:
    """Bundle the options that all commands which change an object have in common."""
    return ChangeOptions(change_id, based_on, wait)
