"""Commands that read collected logs and need no connection to a fleet."""

from pathlib import Path
from typing import Annotated

import typer

from persimmonusher_ctl.context import CommonOptions
from persimmonusher_ctl.exits import Exit
from persimmonusher_ctl.log_lines import read_lines
from persimmonusher_ctl.output import Output, exit_on_error, fail
from persimmonusher_ctl.request_story import RequestTimeline, build_timeline


def explain_logs(
    context: typer.Context,
    request_id: str,
    files: Annotated[list[Path], typer.Argument(help="Collected logs of entries and keepers.")],
) -> None:
    """Show a past request from collected logs: its steps, its servers, and why it ended so."""
    common: CommonOptions = context.obj
    with exit_on_error():
        timeline = build_timeline(request_id, lambda: read_lines(files))
        if timeline is None:
            fail(f"no line of these files is of request {request_id!r}", Exit.NOT_FOUND)
        show_timeline(Output(common.as_json), timeline)


def show_timeline(output: Output, timeline: RequestTimeline) -> None:
    """Print a timeline and its cause as a table, or as JSON."""
    rows = [
        [line.at.isoformat(), line.instance, line.what, line.server or "-", line.detail]
        for line in timeline.lines
    ]
    header = ["AT", "INSTANCE", "WHAT", "SERVER", "DETAIL"]
    names = [name.lower() for name in header]
    lines = [dict(zip(names, row, strict=True)) for row in rows]
    output.show_document({"cause": timeline.cause, "lines": lines}, header, rows)
    if not output.as_json:
        typer.echo(timeline.cause)
