"""The command line of the daemon."""

import warnings
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Final

import typer

from persimmonusher_model.errors import UsherError
from persimmonusher_node import loop

if TYPE_CHECKING:
    from persimmonusher_node.settings import Settings

SETTINGS_REFUSED_EXIT: Final = 2
"""Exit code if the settings were refused."""
CUT_OFF_EXIT: Final = 3
"""Exit code if the stop had to cut off a connection."""

app = typer.Typer(name="persimmonusher", no_args_is_help=True, pretty_exceptions_show_locals=False)

SettingsPath = Annotated[Path, typer.Argument(help="Settings file: JSON with comments.")]


@app.command("run")
def run(settings_path: SettingsPath) -> None:
    """Run one instance until SIGTERM, then stop it gracefully."""
    settings = read_settings(settings_path)
    from persimmonusher_node.process import run_instance

    try:
        is_graceful = run_instance(settings)
    except UsherError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(SETTINGS_REFUSED_EXIT) from error
    except OSError as error:
        typer.echo(f"persimmonusher: {error}", err=True)
        raise typer.Exit(1) from error
    raise typer.Exit(0 if is_graceful else CUT_OFF_EXIT)


@app.command("check-settings")
def check_settings(settings_path: SettingsPath) -> None:
    """Check a settings file and print every finding."""
    settings = read_settings(settings_path)
    role = "entry and keeper" if settings.is_keeper else "entry"
    typer.echo(f"{settings_path}: in order; instance {settings.instance_id!r} is {role}")


def read_settings(path: Path) -> "Settings":
    """Return the settings, or print all findings and exit."""
    from persimmonusher_node.settings_file import load_settings

    try:
        return load_settings(path)
    except UsherError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(SETTINGS_REFUSED_EXIT) from error


def main() -> None:
    """Run the command line.

    The loop is installed before typer runs: eventlet patches loaded modules, and fails on pydantic,
    which typer loads with the first command. docs/design/data-plane.md explains why a library that
    declares itself deprecated is used.
    """
    warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
    loop.install()
    app()
