"""Slopes of the configuration at an entry and at a keeper."""

from persimmonusher_agreement.configuration import Configuration
from persimmonusher_agreement.configuration_objects import Batch, ObjectKind
from persimmonusher_lab.configuration_measure import build_keeper, build_replica, make_changes
from persimmonusher_lab.slopes import Slope, measure_bytes, measure_time
from persimmonusher_model.identifiers import Revision
from persimmonusher_node.keeper_wire import encode_record

FEW_ROUTES = 5_000
MANY_ROUTES = 20_000
LOOKUPS = 20_000


def measure_configuration_slopes() -> list[Slope]:
    """Measure all slopes of the configuration."""
    sources = {size: build_keeper(size) for size in (1, FEW_ROUTES, MANY_ROUTES)}
    source = sources[MANY_ROUTES]
    applied = build_replica(source)
    latest = source.revision
    pull = source.collect_since(Revision(latest - 1))
    record = _find_size(source, ObjectKind.ROUTE)
    held = measure_bytes(lambda size: build_replica(sources[size]), FEW_ROUTES, MANY_ROUTES)
    changes = list(make_changes(FEW_ROUTES))
    keeper = Configuration("fleet")
    return [
        Slope("route at an entry", held, "bytes", "record, decoded body and route table"),
        Slope(
            "route at a keeper",
            measure_bytes(build_keeper, FEW_ROUTES, MANY_ROUTES),
            "bytes",
            "record with the verdict kept by change id",
        ),
        Slope("record message", record, "bytes", "a route, as encoded"),
        Slope(
            "change at a keeper",
            measure_time(lambda number: keeper.apply(changes[number % len(changes)]), 1_000),
            "us",
            "decided and applied, without the disk",
        ),
        Slope(
            "pull of one record",
            measure_time(lambda _: _encode(source.collect_since(Revision(latest - 1))), 1_000),
            "us",
            f"collected and encoded, {len(pull.records)} record",
        ),
        Slope(
            "look-up of a route and profile",
            measure_time(lambda number: _look_up(applied.routes.find, number), LOOKUPS),
            "us",
            f"among {MANY_ROUTES} routes",
        ),
    ]


def _find_size(source: Configuration, kind: ObjectKind) -> float:
    records = list(source.store.list_live(kind))
    return sum(encode_record(record).ByteSize() for record in records) / len(records)


def _encode(batch: Batch) -> None:
    for record in batch.records:
        encode_record(record).SerializeToString()


def _look_up(find: object, number: int) -> None:
    assert callable(find)
    item = number % MANY_ROUTES
    assert find(f"host-{item % 5_000}.example.org", f"/organisation-{item}/entries/7") is not None
