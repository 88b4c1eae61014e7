"""Commands on profiles."""

from pathlib import Path
from typing import Annotated

import typer

from persimmonusher_ctl.changes import propose
from persimmonusher_ctl.context import (
    BasedOn,
    ChangeId,
    Wait,
    get_context,
    make_change_options,
)
from persimmonusher_ctl.objects import (
    find_base,
    find_base_revision,
    make_change,
    read_body,
    read_document,
    require_object,
    show_history,
    show_objects,
)
from persimmonusher_ctl.output import exit_on_error
from persimmonusher_model.profile import parse_profile
from persimmonusher_protocol import operator_pb2 as pb

app = typer.Typer(no_args_is_help=True, help="Create, change, retire and show profiles.")

DocumentFile = Annotated[
    Path | None, typer.Option("--file", help="The profile, JSON with comments.")
]
Assignments = Annotated[
    list[str], typer.Option("--set", help="field=value; may be given several times.")
]


@app.command()
def create(
    context: typer.Context,
    name: str,
    file: DocumentFile = None,
    assignments: Assignments = [],  # noqa: B006
    preset: Annotated[str | None, typer.Option(help="Preset to start from.")] = None,
    change_id: ChangeId = None,
    wait: Wait = 0.0,
) -> None:
    """Create a profile; one that exists is a conflict."""
    with exit_on_error():
        document = read_document(file, assignments)
        if preset is not None:
            document["preset"] = preset
        parse_profile(document)
        common = get_context(context)
        change = make_change(pb.PROFILE, name, 0, document)
        propose(common.client, common.output, change, make_change_options(change_id, None, wait))


@app.command()
def change(
    context: typer.Context,
    name: str,
    file: DocumentFile = None,
    assignments: Assignments = [],  # noqa: B006
    change_id: ChangeId = None,
    based_on: BasedOn = None,
    wait: Wait = 0.0,
) -> None:
    """Change fields of a profile; with --file, replace it as a whole."""
    with exit_on_error():
        common = get_context(context)
        found = find_base(common.client, pb.PROFILE, name, based_on)
        given = read_document(file, assignments)
        document = given if file else {**read_body(found), **given}
        parse_profile(document)
        proposal = make_change(pb.PROFILE, name, found.revision, document)
        options = make_change_options(change_id, based_on, wait)
        propose(common.client, common.output, proposal, options)


@app.command()
def retire(
    context: typer.Context,
    name: str,
    change_id: ChangeId = None,
    based_on: BasedOn = None,
    wait: Wait = 0.0,
) -> None:
    """Retire a profile that no service uses."""
    with exit_on_error():
        common = get_context(context)
        revision = find_base_revision(common.client, pb.PROFILE, name, based_on)
        proposal = make_change(pb.PROFILE, name, revision, None)
        options = make_change_options(change_id, based_on, wait)
        propose(common.client, common.output, proposal, options)


@app.command("list")
def list_profiles(context: typer.Context) -> None:
    """List the profiles in force at the instance that answers."""
    with exit_on_error():
        common = get_context(context)
        show_objects(common.output, common.client.read_objects(pb.PROFILE))


@app.command()
def show(context: typer.Context, name: str) -> None:
    """Show a profile with every field, those left at their defaults too."""
    with exit_on_error():
        common = get_context(context)
        found = require_object(common.client, pb.PROFILE, name)
        profile = parse_profile(read_body(found))
        rows = [[field, str(value)] for field, value in profile.model_dump().items()]
        rows.insert(0, ["(revision)", str(found.revision)])
        common.output.show(found, ["FIELD", "VALUE"], rows)


@app.command()
def history(context: typer.Context, name: str) -> None:
    """Show the accepted changes of a profile that are kept, oldest first."""
    with exit_on_error():
        common = get_context(context)
        show_history(common.output, common.client.read_history(pb.PROFILE, name))
