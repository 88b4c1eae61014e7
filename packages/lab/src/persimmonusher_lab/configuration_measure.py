"""Measure what the configuration costs: bytes held, bytes sent, processor time.

`python -m persimmonusher_lab.configuration_measure` prints slopes for docs/CAPACITY.md, each from
two sizes, so that fixed costs drop out. Files go to a temporary folder under `--folder`.
"""

import json
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated, Final

import typer

from persimmonusher_agreement.configuration import Configuration
from persimmonusher_agreement.configuration_objects import Change, ObjectKey, ObjectKind
from persimmonusher_agreement.log_messages import Entry, Members, Snapshot
from persimmonusher_lab.slopes import measure_bytes
from persimmonusher_model.identifiers import InstanceId, Revision
from persimmonusher_node.applied_configuration import AppliedConfiguration
from persimmonusher_node.keeper_files import KeeperFiles
from persimmonusher_node.keeper_storage import KeeperStorage
from persimmonusher_node.keeper_wire import decode_record, encode_record, encode_snapshot

PROFILES: Final = 20
SERVICES: Final = 2_200
SYNCS: Final = 300
LOOKUPS: Final = 200_000


def make_changes(routes: int) -> Iterator[Change]:
    """Make changes that create profiles, services that use them, and routes, like the target's."""
    profile = {"preset": "ejection-averse", "deadline_ms": 5_000, "queue_limit": 128}
    number = 0

    def make(kind: ObjectKind, name: str, body: dict[str, object]) -> Change:
        key = ObjectKey(kind, name)
        change_id = f"0190a5d2-7f3e-7000-8000-{number:012d}"
        return Change(change_id, "operator", key, Revision(0), json.dumps(body))

    for item in range(PROFILES):
        number += 1
        yield make(ObjectKind.PROFILE, f"profile-{item}", dict(profile))
    for item in range(SERVICES):
        number += 1
        yield make(ObjectKind.SERVICE, f"service-{item}", {"profile": f"profile-{item % PROFILES}"})
    for item in range(routes):
        number += 1
        name = f"host-{item % 5_000}.example.org/organisation-{item}/entries"
        yield make(ObjectKind.ROUTE, name, {"service": f"service-{item % SERVICES}"})


@contextmanager
def measure_time(name: str, count: int) -> Iterator[None]:
    """Print the processor and elapsed time for each of `count` operations."""
    started, cpu_started = time.perf_counter(), time.process_time()
    yield
    elapsed = (time.perf_counter() - started) / count * 1e6
    used = (time.process_time() - cpu_started) / count * 1e6
    print(f"{name}: {used:.1f} us of processor time, {elapsed:.1f} us elapsed, n={count}")


def build_keeper(routes: int) -> Configuration:
    """Build a keeper's configuration with this many routes."""
    configuration = Configuration("fleet")
    for change in make_changes(routes):
        configuration.apply(change)
    return configuration


def build_replica(source: Configuration) -> AppliedConfiguration:
    """Build an entry's configuration from a batch, as it comes over the wire."""
    applied = AppliedConfiguration()
    batch = source.collect_since(Revision(0))
    records = tuple(decode_record(encode_record(record)) for record in batch.records)
    applied.apply_batch(
        type(batch)(batch.lineage, batch.since, batch.revision, records, batch.whole)
    )
    return applied


def measure_state(routes: int) -> None:
    """Measure what keepers and entries hold and send for each object."""
    small = routes // 4
    sources = {count: build_keeper(count) for count in (small, routes)}
    per_route = measure_bytes(build_keeper, small, routes)
    print(f"keeper, bytes held per route with its verdict: {per_route:.0f}")
    held = measure_bytes(lambda count: build_replica(sources[count]), small, routes)
    print(f"entry, bytes held per route: {held:.0f}")
    for kind in (ObjectKind.PROFILE, ObjectKind.SERVICE, ObjectKind.ROUTE):
        records = list(sources[routes].store.list_live(kind))
        size = sum(encode_record(record).ByteSize() for record in records) / len(records)
        print(f"bytes encoded per {kind.value}: {size:.0f}")
    state = sources[routes].capture()
    members = Members("fleet", ())
    with measure_time("snapshot, capture in one turn per object", len(state.records)):
        state = sources[routes].capture()
    with measure_time("snapshot, encode in slices per object", len(state.records)):
        wire = encode_snapshot(Snapshot(1, 1, members, state)).SerializeToString()
    print(f"snapshot, bytes per object with its verdict: {len(wire) / len(state.records):.0f}")


def measure_work(routes: int) -> None:
    """Measure the processor time of each change, pull and look-up."""
    changes = list(make_changes(routes))
    configuration = Configuration("fleet")
    with measure_time("keeper, apply a change", len(changes)):
        for change in changes:
            configuration.apply(change)
    records = configuration.collect_since(Revision(0)).records
    with measure_time("entry, decode and apply per record of a whole batch", len(records)):
        applied = build_replica(configuration)
    latest = configuration.revision
    with measure_time("serve a pull that lacks one record", 10_000):
        for _ in range(10_000):
            configuration.collect_since(Revision(latest - 1))
    with measure_time("look up a route and its profile", LOOKUPS):
        for item in range(LOOKUPS):
            path = f"/organisation-{item % routes}/entries/7"
            service = applied.routes.find(f"host-{item % routes % 5_000}.example.org", path)
            assert service is not None and applied.find_profile(service) is not None


def measure_disk(folder: Path | None) -> None:
    """Measure the time and the bytes of one synced change on a disk."""
    changes = list(make_changes(SYNCS))[-SYNCS:]
    with tempfile.TemporaryDirectory(dir=folder) as temporary:
        files = KeeperFiles(Path(temporary) / "keeper")
        with files:
            storage = KeeperStorage(files, InstanceId("k1"))
            storage.load()
            with measure_time("disk, append and sync a change", SYNCS):
                for index, change in enumerate(changes, 1):
                    storage.append([Entry(index, 1, change)])
                    storage.sync()
            size = (files.folder / "log").stat().st_size
    print(f"disk, bytes of the log per change: {size / SYNCS:.0f}")


def measure_configuration(
    routes: Annotated[int, typer.Option(help="Routes of the larger size")] = 40_000,
    folder: Annotated[Path | None, typer.Option(help="Where the disk is measured")] = None,
) -> None:
    """Print all slopes."""
    print(f"{PROFILES} profiles, {SERVICES} services, {routes} routes")
    measure_state(routes)
    measure_work(routes)
    measure_disk(folder)


if __name__ == "__main__":
    typer.run(measure_configuration)
