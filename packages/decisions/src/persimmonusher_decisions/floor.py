"""The floor: the part of a service's capacity that ejection leaves in place in any case."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from persimmonusher_model.identifiers import ServerId


@dataclass(frozen=True)
class Candidate:
    """A server with evidence against it; those with the strongest evidence are ejected first."""

    server_id: ServerId
    strength: float


@dataclass(frozen=True)
class FloorVerdict:
    """The candidates that may be ejected together, and those that the floor keeps in place."""

    ejected: tuple[ServerId, ...]
    held_back: tuple[ServerId, ...]


def apply_floor(
    candidates: Iterable[Candidate], slots: Mapping[ServerId, int], floor_percent: int
) -> FloorVerdict:
    """Choose the candidates with the strongest evidence whose ejection leaves the floor in place.

    `slots` are those of all servers that are ready now. In a mass failure, when most servers look
    faulty, the few left would be overloaded and fail as well. The limit is in slots and rounded
    towards keeping servers, as servers differ in size, and in a small fleet one more server may be
    a tenth of all capacity. One server always stays, even with a floor of 0.

    The assessor calls it for the whole fleet, and each entry instance again on its own view, so
    that a verdict based on a stale list of servers can't violate the floor where it is applied.
    """
    ranked = sorted(candidates, key=lambda candidate: (-candidate.strength, candidate.server_id))
    total = sum(slots.values())
    spare = total * (100 - floor_percent) / 100
    ejected: list[ServerId] = []
    held_back: list[ServerId] = []
    for candidate in ranked:
        size = slots.get(candidate.server_id)
        if size is None:
            continue
        if size <= spare and len(ejected) + 1 < len(slots):
            spare -= size
            ejected.append(candidate.server_id)
        else:
            held_back.append(candidate.server_id)
    return FloorVerdict(tuple(ejected), tuple(held_back))
