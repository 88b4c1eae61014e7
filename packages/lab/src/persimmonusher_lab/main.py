"""The lab's command line: stand-ins, load, demo and measurements."""

import sys
from pathlib import Path
from typing import Annotated

import typer

app = typer.Typer(no_args_is_help=True, help=__doc__, pretty_exceptions_enable=False)


@app.command("backend-server")
def backend_server(
    server_id: str,
    service: str,
    address: str,
    ledger: Annotated[Path, typer.Option(help="File to append to.")],
    announce_to: Annotated[str, typer.Option(help="ip:port list, comma-separated.")] = "",
    listen: Annotated[
        str, typer.Option(help="ip:port to listen on, if a relay has the announced one.")
    ] = "",
    failure_domain: str = "a",
    slots: int = 4,
    connection_limit: int = 400,
    service_ms: float = 20.0,
    cold_seconds: float = 0.0,
    seed: int = 1,
) -> None:
    """Run one stand-in backend server until SIGTERM."""
    from persimmonusher_lab.backend_process import run_backend
    from persimmonusher_lab.backend_server import BackendOptions

    options = BackendOptions(
        server_id=server_id,
        service=service,
        address=address,
        listen=listen or address,
        failure_domain=failure_domain,
        slots=slots,
        connection_limit=connection_limit,
        service_ms=service_ms,
        cold_seconds=cold_seconds,
        seed=seed,
    )
    run_backend(options, [item for item in announce_to.split(",") if item], ledger)


@app.command()
def load(
    entries: Annotated[str, typer.Argument(help="Caller addresses, comma-separated.")],
    host: str,
    report: Annotated[Path, typer.Option(help="File to append each try to.")],
    seconds: Annotated[float, typer.Option(max=600.0)] = 10.0,
    rate: Annotated[float, typer.Option(max=5_000.0)] = 50.0,
    entry_percent: int = 30,
    deadline_ms: int = 5_000,
    seed: int = 1,
) -> None:
    """Send a bounded open-loop load of lookups and entries."""
    from persimmonusher_lab.load import Caller, LoadOptions

    options = LoadOptions(
        entries=tuple(entries.split(",")),
        host=host,
        seconds=seconds,
        rate=rate,
        entry_percent=entry_percent,
        deadline_ms=deadline_ms,
        seed=seed,
    )
    with Caller(options, report) as caller:
        caller.run()


@app.command("rank-losses")
def rank_losses(
    reports: Annotated[list[Path], typer.Argument(help="Reports that the bench wrote.")],
) -> None:
    """Print what simulated days lost by cause, the largest first."""
    from persimmonusher_lab.worth import describe_losses, read_report

    for path in reports:
        typer.echo("\n".join((f"{path.name}:", *describe_losses(read_report(path)))))


@app.command()
def demo(
    keep: Annotated[Path | None, typer.Option(help="Empty folder to keep reports in.")] = None,
) -> None:
    """Show every promise once on real processes; exits non-zero if one broke."""
    from persimmonusher_lab.demo import run_demo

    sys.exit(run_demo(keep))


@app.command("measure-client")
def measure_client(
    addresses: Annotated[str, typer.Argument(help="Addresses, comma-separated.")],
    host: str,
    report: Annotated[Path, typer.Option(help="File to write the figures to.")],
    seconds: Annotated[float, typer.Option(max=120.0)] = 3.0,
    rate: Annotated[float, typer.Option(max=5_000.0, help="0 for a closed loop.")] = 100.0,
    name: str = "m",
    entry: bool = False,
) -> None:
    """Send one bounded measuring load and write its figures."""
    from persimmonusher_lab.throughput_client import (
        ClientOptions,
        MeasuringClient,
        write_figures,
    )

    options = ClientOptions(
        addresses=tuple(addresses.split(",")),
        host=host,
        seconds=seconds,
        rate=rate,
        is_entry=entry,
        name=name,
    )
    write_figures(MeasuringClient(options).run(), report)


@app.command()
def throughput(
    output: Annotated[Path, typer.Option(help="JSON file to write.")] = Path("throughput.json"),
    seconds: Annotated[float, typer.Option(max=120.0, help="Seconds of each load.")] = 4.0,
) -> None:
    """Measure requests per second on one core and the latency added by 1, 3 and 6 instances."""
    from persimmonusher_lab.throughput import run_throughput

    run_throughput(output, seconds)


@app.command()
def record(
    folder: Annotated[Path, typer.Argument(help="Folder to write the traces to.")],
    run: Annotated[Path | None, typer.Option(help="Kept folder of a demo to record too.")] = None,
) -> None:
    """Run the scenarios of all promises and record each as a trace."""
    from persimmonusher_lab.trace import write_trace
    from persimmonusher_lab.trace_runs import record_run
    from persimmonusher_lab.trace_scenarios import SCENARIOS

    folder.mkdir(parents=True, exist_ok=True)
    traces = {name: scenario() for name, scenario in SCENARIOS.items()}
    if run is not None:
        traces["demo-run"] = record_run(run)
    for name, trace in traces.items():
        write_trace(trace, folder / f"{name}.jsonl")
        typer.echo(f"{name}: {len(trace.steps)} steps")


@app.command()
def replay(
    files: list[Path],
    strict: Annotated[bool, typer.Option(help="Compare results that aren't stated too.")] = False,
) -> None:
    """Replay traces; exits non-zero if a stated outcome differs."""
    from persimmonusher_lab.trace import read_trace
    from persimmonusher_lab.trace import replay as replay_trace

    failed = False
    for path in files:
        trace = read_trace(path)
        differences = replay_trace(trace, strict)
        stated = sum(bool(step.states) for step in trace.steps)
        failed = failed or bool(differences)
        verdict = f"{len(differences)} differ" if differences else "as stated"
        typer.echo(f"{path.name}: {len(trace.steps)} steps, {stated} stated: {verdict}")
        for difference in differences:
            typer.echo(str(difference))
    sys.exit(1 if failed else 0)


@app.command()
def capacity() -> None:
    """Measure the slopes and print the target size's costs as Markdown tables."""
    from persimmonusher_node import loop

    loop.install()
    from persimmonusher_lab.capacity import print_capacity

    print_capacity()


@app.command()
def report(
    folder: Annotated[Path, typer.Argument(help="Where the page, plots and JSON go.")],
    baseline: Annotated[Path | None, typer.Option(help="JSON of an earlier run.")] = None,
    seeds: Annotated[int, typer.Option(min=1, max=200)] = 20,
    other_seeds: Annotated[int | None, typer.Option(help="For cases without a goal.")] = None,
    well_hours_share: Annotated[float, typer.Option(min=0.0, max=10.0)] = 1.0,
    processes: Annotated[int, typer.Option(min=1, max=32)] = 4,
) -> None:
    """Measure the decisions on virtual time, against baselines, and write an HTML page."""
    from persimmonusher_lab.decisions_report import write_report

    goals = write_report(folder, baseline, seeds, processes, well_hours_share, other_seeds)
    for goal in goals:
        typer.echo(f"{'met    ' if goal.met else 'NOT MET'} {goal.text}: {goal.measured}")


def main() -> None:
    """Run the lab's command line."""
    app()
