"""Checks of a single change, made by the leader before it appends the change."""

import json
from typing import Final

from persimmonusher_agreement.configuration_objects import Change, ObjectKey, ObjectKind
from persimmonusher_agreement.registration import check_registration
from persimmonusher_agreement.roster_document import check_roster
from persimmonusher_agreement.routing_record import check_packed
from persimmonusher_model.errors import ErrorCode, Finding, UsherError
from persimmonusher_model.profile import parse_profile

MAX_NAME_CHARACTERS: Final = 512
"""For names, change ids and operators. A long path prefix fits; a request's whole URL doesn't."""

MAX_BODY_CHARACTERS: Final = {
    ObjectKind.PROFILE: 65_536,
    ObjectKind.SERVICE: 1_024,
    ObjectKind.ROUTE: 1_024,
    ObjectKind.ROSTER: 1_048_576,
    ObjectKind.DOCUMENT: 16_777_216,
    ObjectKind.SERVER: 4_096,
}
"""Every body is held by every instance and kept in histories, so each is bounded. A roster lists
thousands of instances, and a packed routing document holds the target's 200,000 routes."""

ROUTE_FORM: Final = "HOST/PREFIX or */PREFIX, the host in lower case and without a port"

REFERENCE_KEYS: Final = {ObjectKind.SERVICE: "profile", ObjectKind.ROUTE: "service"}
"""The key in the body whose value names the object that is referred to."""

REFERENCED_KINDS: Final = {
    ObjectKind.SERVICE: ObjectKind.PROFILE,
    ObjectKind.ROUTE: ObjectKind.SERVICE,
}


def find_reference(key: ObjectKey, body: str | None) -> ObjectKey | None:
    """Return the object that a service or route refers to, or None for other kinds."""
    if body is None or key.kind not in REFERENCE_KEYS:
        return None
    return ObjectKey(REFERENCED_KINDS[key.kind], json.loads(body)[REFERENCE_KEYS[key.kind]])


def check_change(change: Change) -> tuple[Finding, ...]:
    """Check a change before it is appended, without the configuration; return all findings."""
    findings = _check_names(change)
    if change.body is None:
        return tuple(findings)
    try:
        document = json.loads(change.body)
    except (ValueError, RecursionError) as error:
        return (*findings, Finding(ErrorCode.BAD_JSON, "body", str(error)))
    if not isinstance(document, dict):
        return (*findings, Finding(ErrorCode.BAD_VALUE, "body", "must be a JSON object"))
    if change.key.kind is ObjectKind.ROSTER:
        return (*findings, *check_roster(change.key.name, document))
    return (*findings, *_check_body(change.key, document))


def _check_body(key: ObjectKey, document: dict[str, object]) -> list[Finding]:
    match key.kind:
        case ObjectKind.DOCUMENT:
            return check_packed(document)
        case ObjectKind.SERVER:
            return check_registration(key.name, document)
        case ObjectKind.PROFILE:
            return _check_profile(document)
    return _check_reference(key.kind, document)


def _check_profile(document: dict[str, object]) -> list[Finding]:
    try:
        parse_profile(document)
    except UsherError as error:
        return list(error.findings)
    return []


def _check_names(change: Change) -> list[Finding]:
    findings = _check_lengths(change)
    if not change.change_id:
        findings.append(Finding(ErrorCode.MISSING_KEY, "change_id", "is required"))
    if not change.key.name or change.key.name.strip() != change.key.name:
        message = f"{change.key.name!r} is empty or begins or ends with a space"
        findings.append(Finding(ErrorCode.BAD_VALUE, "name", message))
    if change.key.kind is ObjectKind.ROUTE and not _is_route_name(change.key.name):
        message = f"{change.key.name!r} is not {ROUTE_FORM}"
        findings.append(Finding(ErrorCode.BAD_VALUE, "name", message))
    return findings


def _check_lengths(change: Change) -> list[Finding]:
    limits = [
        ("change_id", change.change_id, MAX_NAME_CHARACTERS),
        ("operator", change.operator, MAX_NAME_CHARACTERS),
        ("name", change.key.name, MAX_NAME_CHARACTERS),
        ("body", change.body or "", MAX_BODY_CHARACTERS[change.key.kind]),
    ]
    return [
        Finding(ErrorCode.BAD_VALUE, path, f"has {len(text)} characters, at most {limit} are taken")
        for path, text, limit in limits
        if len(text) > limit
    ]


def _is_route_name(name: str) -> bool:
    host, separator, rest = name.partition("/")
    if not host or not separator or host != host.lower() or ":" in host:
        return False
    return not rest.endswith("/")


def _check_reference(kind: ObjectKind, document: dict[str, object]) -> list[Finding]:
    wanted = REFERENCE_KEYS[kind]
    findings = [
        Finding(ErrorCode.UNKNOWN_KEY, key, f"unknown key; a {kind.value} has only {wanted!r}")
        for key in document
        if key != wanted
    ]
    value = document.get(wanted)
    if not isinstance(value, str) or not value:
        findings.append(Finding(ErrorCode.MISSING_KEY, wanted, "must name an object"))
    return findings
