"""persimmonusherctl: the operators' command line."""

import typer

from persimmonusher_ctl import logs, profiles, reports, services
from persimmonusher_ctl.connection import ConnectionOptions
from persimmonusher_ctl.context import Addresses, AsJson, CommonOptions, SettingsFile

app = typer.Typer(
    no_args_is_help=True,
    help="Drive a persimmonusher fleet. Exit codes are in docs/operators-guide.md.",
    pretty_exceptions_enable=False,
)
app.add_typer(profiles.app, name="profiles")
app.add_typer(services.services, name="services")
app.add_typer(services.routes, name="routes")
app.command("servers")(reports.list_servers)
app.command("instances")(reports.list_instances)
app.add_typer(reports.keepers, name="keepers")
app.command("explain")(reports.explain)
app.command("explain-logs")(logs.explain_logs)


@app.callback()
def take_common_options(
    context: typer.Context,
    settings: SettingsFile = None,
    addresses: Addresses = None,
    as_json: AsJson = False,
) -> None:
    """Store the options that precede the command's name."""
    context.obj = CommonOptions(ConnectionOptions(settings, addresses), as_json)


def main() -> None:
    """Run the command line."""
    app()
