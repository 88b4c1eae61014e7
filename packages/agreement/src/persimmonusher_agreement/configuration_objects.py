"""Data types of the configuration: objects, changes, verdicts and batches of records."""

import hashlib
import json
from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from persimmonusher_model.errors import Finding
from persimmonusher_model.identifiers import Revision


class ObjectKind(Enum):
    """What an object of the configuration describes, and what its JSON body holds."""

    PROFILE = "profile"
    """The body is a profile document, as `parse_profile` accepts it."""
    SERVICE = "service"
    """The body is `{"profile": NAME}`."""
    ROSTER = "roster"
    """The instances that hold claims, written by the keepers' leader; see `roster_document`."""
    ROUTE = "route"
    """Named by host and path, `HOST/PREFIX` or `*/PREFIX`; the body is `{"service": NAME}`."""
    DOCUMENT = "document"
    """The operator's routing document with a version of its own; see `routing_record`."""
    SERVER = "server"
    """A backend server's registration, written by keepers; see `registration`."""


@dataclass(frozen=True, slots=True)
class ObjectKey:
    """Identifies one object of the configuration."""

    kind: ObjectKind
    name: str


@dataclass(frozen=True)
class Change:
    """An operator's request to create, change or retire one object.

    `based_on` is the object's revision that the operator saw; 0 means that it must not exist. A
    `body` of None retires the object. The client makes `change_id` once and reuses it in resends.
    """

    change_id: str
    operator: str
    key: ObjectKey
    based_on: Revision
    body: str | None

    def digest(self) -> str:
        """Return a hash of the content, which distinguishes a resend from a reused change id."""
        parts = [self.operator, self.key.kind.value, self.key.name, self.based_on, self.body]
        return hashlib.sha256(json.dumps(parts).encode()).hexdigest()[:32]


@dataclass(frozen=True, slots=True)
class Record:
    """An object as one accepted change left it; a `body` of None is a tombstone."""

    key: ObjectKey
    revision: Revision
    body: str | None
    change_id: str
    operator: str


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change is committed as this revision and won't revert."""

    revision: Revision


@dataclass(frozen=True)
class Conflict:
    """Another change of the same object was accepted first: `winner` is what it left."""

    winner: Record


@dataclass(frozen=True)
class Invalid:
    """The change was refused; the findings list all that is wrong with it."""

    findings: tuple[Finding, ...]


Verdict: TypeAlias = Accepted | Conflict | Invalid


@dataclass(frozen=True, slots=True)
class StoredVerdict:
    """The verdict on a change id, with the digest of the change that it judged."""

    change_id: str
    digest: str
    verdict: Verdict


@dataclass(frozen=True)
class Batch:
    """The latest records of all objects that changed after `since`, up to `revision`.

    A `whole` batch holds every live object: the receiver removes the objects that aren't in it.
    """

    lineage: str
    since: Revision
    revision: Revision
    records: tuple[Record, ...]
    whole: bool


@dataclass(frozen=True)
class ConfigurationState:
    """The whole state of the configuration, as a snapshot holds it."""

    lineage: str
    revision: Revision
    tombstone_floor: Revision
    records: tuple[Record, ...]
    """Latest records, tombstones included, in the order of their revisions."""
    histories: tuple[Record, ...]
    """Earlier records that are still kept, in the order of their revisions."""
    verdicts: tuple[StoredVerdict, ...]
    """Oldest first."""
