"""The floor under ejection: how much of a service's capacity stays in place, whatever is seen."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from persimmonusher_model.identifiers import ServerId


@dataclass(frozen=True)
class Candidate:
    """A server that evidence speaks against; the stronger it does, the sooner it goes."""

    server_id: ServerId
    strength: float


@dataclass(frozen=True)
class FloorVerdict:
    """Which candidates may be out at the same time, and which the floor keeps in place."""

    out: tuple[ServerId, ...]
    held_back: tuple[ServerId, ...]


def keep_floor(
    candidates: Iterable[Candidate], slots: Mapping[ServerId, int], floor_percent: int
) -> FloorVerdict:
    """Choose the strongest candidates whose slots together leave the floor in place.

    `slots` are those of all servers that are ready now. The load it is for: mass failure, when
    most servers look ill. The harm: the few left would be overrun and fail as well. Why the limit
    is in slots and rounded towards staying: servers of unequal size, and small fleets, where one
    server more is a tenth of all capacity. One server always stays, also with a floor of 0.

    The assessor calls it for the whole fleet and each entry instance again on its own view, so
    that a verdict made on a stale list of servers can't break the floor where it is applied.
    """
    ranked = sorted(candidates, key=lambda candidate: (-candidate.strength, candidate.server_id))
    total = sum(slots.values())
    spare = total * (100 - floor_percent) / 100
    out: list[ServerId] = []
    held_back: list[ServerId] = []
    for candidate in ranked:
        size = slots.get(candidate.server_id)
        if size is None:
            continue
        if size <= spare and len(out) + 1 < len(slots):
            spare -= size
            out.append(candidate.server_id)
        else:
            held_back.append(candidate.server_id)
    return FloorVerdict(tuple(out), tuple(held_back))
