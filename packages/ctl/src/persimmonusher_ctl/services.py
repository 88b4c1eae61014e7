"""Commands on services and on the routes that lead to them."""

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
    find_base_revision,
    find_object,
    make_change,
    show_history,
    show_objects,
)
from persimmonusher_ctl.output import exit_on_error
from persimmonusher_protocol import operator_pb2 as pb

RouteName = Annotated[str, typer.Argument(metavar="ROUTE", help="HOST/PREFIX or */PREFIX.")]


def _put(
    context: typer.Context,
    kind: pb.ObjectKind,
    name: str,
    document: dict[str, str],
    options: tuple[str | None, int | None, float],
) -> None:
    with exit_on_error():
        common = get_context(context)
        found = find_object(common.client, kind, name)
        proposal = make_change(kind, name, found.revision if found else 0, document)
        propose(common.client, common.output, proposal, make_change_options(*options))


def _retire(
    context: typer.Context,
    kind: pb.ObjectKind,
    name: str,
    options: tuple[str | None, int | None, float],
) -> None:
    with exit_on_error():
        common = get_context(context)
        revision = find_base_revision(common.client, kind, name, options[1])
        proposal = make_change(kind, name, revision, None)
        propose(common.client, common.output, proposal, make_change_options(*options))


def _list(context: typer.Context, kind: pb.ObjectKind) -> None:
    with exit_on_error():
        common = get_context(context)
        show_objects(common.output, common.client.read_objects(kind))


def _show_history(context: typer.Context, kind: pb.ObjectKind, name: str) -> None:
    with exit_on_error():
        common = get_context(context)
        show_history(common.output, common.client.read_history(kind, name))


services = typer.Typer(no_args_is_help=True, help="Services, and the profile each runs under.")
routes = typer.Typer(no_args_is_help=True, help="Routes from host and path to a service.")


@services.command("put")
def put_service(
    context: typer.Context,
    name: str,
    profile: Annotated[str, typer.Option(help="The profile to run under.")],
    change_id: ChangeId = None,
    based_on: BasedOn = None,
    wait: Wait = 0.0,
) -> None:
    """Create a service, or move it to another profile."""
    _put(context, pb.SERVICE, name, {"profile": profile}, (change_id, based_on, wait))


@services.command("retire")
def retire_service(
    context: typer.Context,
    name: str,
    change_id: ChangeId = None,
    based_on: BasedOn = None,
    wait: Wait = 0.0,
) -> None:
    """Retire a service that no route leads to."""
    _retire(context, pb.SERVICE, name, (change_id, based_on, wait))


@services.command("list")
def list_services(context: typer.Context) -> None:
    """List the services in force at the instance that answers."""
    _list(context, pb.SERVICE)


@services.command("history")
def show_service_history(context: typer.Context, name: str) -> None:
    """Show the accepted changes of a service that are kept, oldest first."""
    _show_history(context, pb.SERVICE, name)


@routes.command("put")
def put_route(
    context: typer.Context,
    name: RouteName,
    service: Annotated[str, typer.Option(help="The service that the route leads to.")],
    change_id: ChangeId = None,
    based_on: BasedOn = None,
    wait: Wait = 0.0,
) -> None:
    """Create a route, or lead it to another service."""
    _put(context, pb.ROUTE, name, {"service": service}, (change_id, based_on, wait))


@routes.command("retire")
def retire_route(
    context: typer.Context,
    name: RouteName,
    change_id: ChangeId = None,
    based_on: BasedOn = None,
    wait: Wait = 0.0,
) -> None:
    """Retire a route."""
    _retire(context, pb.ROUTE, name, (change_id, based_on, wait))


@routes.command("list")
def list_routes(context: typer.Context) -> None:
    """List the routes in force at the instance that answers."""
    _list(context, pb.ROUTE)


@routes.command("history")
def show_route_history(context: typer.Context, name: RouteName) -> None:
    """Show the accepted changes of a route that are kept, oldest first."""
    _show_history(context, pb.ROUTE, name)
