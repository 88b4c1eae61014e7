"""Typed values of the state machines as JSON and back, for traces.

A frozen data class becomes an object with its module and class under `type`, such as
`claims.Vote`; an enum member, bytes, a mapping and a set have tags of their own. Sequences are
decoded as tuples, as all messages hold them.
"""

import base64
import inspect
from collections.abc import Mapping, Sequence
from dataclasses import fields, is_dataclass
from enum import Enum
from types import ModuleType
from typing import Any, Final

from persimmonusher_agreement import claims, configuration_objects, log_messages, roster
from persimmonusher_decisions import evidence_messages, server, traffic, work
from persimmonusher_lab import ledger, load, promises
from persimmonusher_model import errors
from persimmonusher_model.profile import Profile

TYPED_MODULES: Final[tuple[ModuleType, ...]] = (
    claims,
    configuration_objects,
    errors,
    evidence_messages,
    ledger,
    load,
    log_messages,
    promises,
    roster,
    server,
    traffic,
    work,
)

TYPE: Final = "type"
ENUM: Final = "enum"
BYTES: Final = "bytes"
MAPPING: Final = "map"
SET: Final = "set"


def name_type(kind: type[Any]) -> str:
    """Return a type's name in traces: the last part of its module, and the class."""
    return f"{kind.__module__.rpartition('.')[2]}.{kind.__name__}"


def _collect_types() -> dict[str, type[Any]]:
    found: dict[str, type[Any]] = {name_type(Profile): Profile}
    for module in TYPED_MODULES:
        for value in vars(module).values():
            if not inspect.isclass(value) or value.__module__ != module.__name__:
                continue
            if is_dataclass(value) or issubclass(value, Enum):
                found[name_type(value)] = value
    return found


TYPES: Final = _collect_types()


def encode(value: Any) -> Any:
    """Return the JSON form of a typed value; raise TypeError if traces don't support its type."""
    if value is None or isinstance(value, bool | int | float | str):
        return value
    if isinstance(value, Enum):
        return {ENUM: name_type(type(value)), "name": value.name}
    if isinstance(value, bytes):
        return {BYTES: base64.b64encode(value).decode()}
    if isinstance(value, Profile):
        return {TYPE: name_type(Profile), **encode_items(value.model_dump(exclude_defaults=True))}
    if name_type(type(value)) in TYPES:
        names = [field.name for field in fields(value) if not field.name.startswith("_")]
        items = {name: getattr(value, name) for name in names}
        return {TYPE: name_type(type(value)), **encode_items(items)}
    return _encode_collection(value)


def encode_items(items: Mapping[str, Any]) -> dict[str, Any]:
    """Return a mapping's values in their JSON form."""
    return {name: encode(item) for name, item in items.items()}


def _encode_collection(value: Any) -> Any:
    if isinstance(value, Mapping):
        return {MAPPING: [[encode(key), encode(item)] for key, item in sorted(value.items())]}
    if isinstance(value, set | frozenset):
        return {SET: sorted(encode(item) for item in value)}
    if isinstance(value, Sequence):
        return [encode(item) for item in value]
    raise TypeError(f"traces don't support the type {type(value).__name__}")


def decode(document: Any) -> Any:
    """Return the typed value of a JSON form."""
    if isinstance(document, list):
        return tuple(decode(item) for item in document)
    if not isinstance(document, dict):
        return document
    if ENUM in document:
        return TYPES[document[ENUM]][document["name"]]
    if BYTES in document:
        return base64.b64decode(document[BYTES])
    if MAPPING in document:
        return {decode(key): decode(item) for key, item in document[MAPPING]}
    if SET in document:
        return frozenset(decode(item) for item in document[SET])
    items = {name: decode(item) for name, item in document.items() if name != TYPE}
    return TYPES[document[TYPE]](**items)
