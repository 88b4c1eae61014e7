"""The roster as the JSON body of a configuration object.

>>> encode_roster(Roster(1, (Member(InstanceId("a"), FailureDomain("d"), 7),)))
'{"version": 1, "members": [["a", "d", 7]], "previous": []}'
"""

import json
from typing import Final

from persimmonusher_agreement.roster import Member, Roster
from persimmonusher_model.errors import ErrorCode, Finding
from persimmonusher_model.identifiers import FailureDomain, InstanceId

ROSTER_NAME: Final = "entries"
"""The name of the only roster."""
_KEYS: Final = frozenset({"version", "members", "previous"})


def encode_roster(roster: Roster) -> str:
    """Return the JSON body of a roster."""
    document = {
        "version": roster.version,
        "members": [_encode_member(member) for member in roster.members],
        "previous": [_encode_member(member) for member in roster.previous],
    }
    return json.dumps(document)


def decode_roster(body: str) -> Roster:
    """Decode the body of a roster, which `check_roster` must have accepted."""
    document = json.loads(body)
    return Roster(
        document["version"],
        tuple(_decode_member(member) for member in document["members"]),
        tuple(_decode_member(member) for member in document["previous"]),
    )


def check_roster(name: str, document: dict[str, object]) -> list[Finding]:
    """Check a roster's name and decoded body, and return all findings."""
    findings = []
    if name != ROSTER_NAME:
        message = f"the only roster is {ROSTER_NAME!r}, not {name!r}"
        findings.append(Finding(ErrorCode.BAD_VALUE, "name", message))
    for key in sorted(_KEYS ^ document.keys()):
        code = ErrorCode.MISSING_KEY if key in _KEYS else ErrorCode.UNKNOWN_KEY
        findings.append(Finding(code, key, "is required" if key in _KEYS else "unknown key"))
    version = document.get("version")
    if not isinstance(version, int) or version < 1:
        findings.append(Finding(ErrorCode.BAD_VALUE, "version", f"{version!r} is not 1 or more"))
    for key in ("members", "previous"):
        findings.extend(_check_members(key, document.get(key)))
    return findings


def _check_members(key: str, members: object) -> list[Finding]:
    if not isinstance(members, list):
        return [Finding(ErrorCode.BAD_VALUE, key, "must be a list")]
    return [
        Finding(ErrorCode.BAD_VALUE, f"{key}.{number}", "must be [instance, domain, boot]")
        for number, member in enumerate(members)
        if not _is_member(member)
    ]


def _is_member(member: object) -> bool:
    if not isinstance(member, list) or len(member) != 3:
        return False
    return isinstance(member[0], str) and isinstance(member[1], str) and isinstance(member[2], int)


def _encode_member(member: Member) -> list[str | int]:
    return [member.instance_id, member.failure_domain, member.boot]


def _decode_member(member: list[str | int]) -> Member:
    name, domain, boot = member
    return Member(InstanceId(str(name)), FailureDomain(str(domain)), int(boot))
