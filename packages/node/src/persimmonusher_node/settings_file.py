"""Reads the settings file, JSON with comments, and reports all its faults together."""

import json
import re
from pathlib import Path
from types import UnionType
from typing import Any, Final, Union, get_args, get_origin

import json5
from pydantic import BaseModel, ValidationError

from persimmonusher_model.errors import ErrorCode, Finding, UsherError
from persimmonusher_model.profile import parse_profile
from persimmonusher_model.spelling import find_nearest
from persimmonusher_node.settings import REQUIRED_LISTENERS, Role, Settings
from persimmonusher_node.settings_bounds import derive_settings

_SYNTAX_ERROR: Final = re.compile(r"<string>:(?P<line>\d+)")
IMPOSSIBLE: Final = ErrorCode.IMPOSSIBLE_COMBINATION
_SECRETS: Final = frozenset({"peer_token", "operator_tokens"})


def load_settings(path: Path) -> Settings:
    """Read and check a settings file; raise UsherError with every finding."""
    file = str(path)
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        finding = Finding(ErrorCode.UNREADABLE_FILE, "", f"can't be read: {error}", file)
        raise UsherError(finding.code, f"{file} can't be read", [finding]) from error
    return parse_settings(text, file)


def parse_settings(text: str, file: str) -> Settings:
    """Check a settings document; raise UsherError with every finding."""
    try:
        document = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        match = _SYNTAX_ERROR.search(str(error))
        line = int(match["line"]) if match else None
        finding = Finding(ErrorCode.BAD_JSON, "", f"is not JSON: {error}", file, line)
        raise UsherError(finding.code, f"{file} is not JSON with comments", [finding]) from error
    findings: list[Finding] = []
    try:
        settings = Settings.model_validate_json(json.dumps(document), strict=True)
    except ValidationError as error:
        findings = [_make_finding(detail, text, file) for detail in error.errors()]
    else:
        settings = derive_settings(settings)
        findings = check_combinations(settings, text, file)
    if findings:
        findings.sort(key=lambda finding: (finding.line or 0, finding.path))
        raise UsherError(findings[0].code, f"{file} was refused", findings)
    return settings


class FindingList:
    """Collects findings on one settings document, each with its line."""

    def __init__(self, text: str, file: str) -> None:
        self._text = text
        self._file = file
        self.findings: list[Finding] = []

    def add(self, path: str, message: str, code: ErrorCode = IMPOSSIBLE) -> None:
        """Add a finding about a path."""
        line = find_line(self._text, path.split("."))
        self.findings.append(Finding(code, path, message, self._file, line))

    def add_missing(self, path: str) -> None:
        """Add a finding about a missing field, with the line of the object that should hold it."""
        line = find_line(self._text, path.split(".")[:-1])
        finding = Finding(ErrorCode.MISSING_KEY, path, "is required", self._file, line)
        self.findings.append(finding)


def check_combinations(settings: Settings, text: str, file: str) -> list[Finding]:
    """Return findings on combinations of fields that are each valid alone."""
    found = FindingList(text, file)
    check_listeners(settings, found)
    check_role(settings, found)
    check_tokens(settings, found)
    check_default_profile(settings, found)
    return found.findings


def check_listeners(settings: Settings, found: FindingList) -> None:
    """Check that the role's listeners are set, each with an address of its own."""
    listeners = {name: at for name, at in settings.listen.model_dump().items() if at}
    for name in REQUIRED_LISTENERS[settings.role]:
        if name not in listeners:
            found.add_missing(f"listen.{name}")
    first_by_address: dict[str, str] = {}
    for name, address in listeners.items():
        taken = first_by_address.setdefault(address, name)
        if taken != name and not address.endswith(":0"):
            found.add(f"listen.{name}", f"{address} is taken by listen.{taken}; each needs its own")


def check_role(settings: Settings, found: FindingList) -> None:
    """Check the fields that keepers need, and the seeds of entries and keepers."""
    if settings.is_keeper and settings.data_folder is None:
        message = f"{settings.instance_id} is one of them, so data_folder is required"
        found.add("keepers", message)
    if len({keeper.instance_id for keeper in settings.keepers}) < len(settings.keepers):
        found.add("keepers", "two keepers have the same instance_id")
    if settings.role is Role.KEEPER and settings.data_folder is None:
        found.add_missing("data_folder")
    if settings.role is not Role.COMBINED and not settings.seeds:
        found.add_missing("seeds")


def check_tokens(settings: Settings, found: FindingList) -> None:
    """Check that each token identifies one caller."""
    tokens = list(settings.operator_tokens.values())
    if len(set(tokens)) < len(tokens):
        found.add("operator_tokens", "two operators have the same token")
    if settings.peer_token in tokens:
        found.add("operator_tokens", "an operator's token is also the peer_token")


def check_default_profile(settings: Settings, found: FindingList) -> None:
    """Check the default profile as a profile document, and what replaces parts of it."""
    _check_profile("default_profile", settings.default_profile, found)
    if settings.contended_profile:
        merged = {**settings.default_profile, **settings.contended_profile}
        _check_profile("contended_profile", merged, found)


def _check_profile(name: str, document: dict[str, Any], found: FindingList) -> None:
    try:
        parse_profile(document)
    except UsherError as error:
        for finding in error.findings:
            found.add(f"{name}.{finding.path}", finding.message, finding.code)


def find_line(text: str, path: list[str]) -> int | None:
    """Return the line of the path's last name that is found, searching for each name in turn.

    This is a text search for `"name":`, not a parse. If a name occurs twice it may return the line
    of the first, so a finding always carries the whole path as well.
    """
    position = 0
    found: int | None = None
    for name in path:
        if name.isdigit():
            continue
        pattern = re.compile(rf"""(?m)(["']?)\b{re.escape(name)}\1\s*:""")
        match = pattern.search(text, position)
        if match is None:
            break
        position = match.end()
        found = text.count("\n", 0, match.start()) + 1
    return found


def _make_finding(detail: Any, text: str, file: str) -> Finding:
    parts = [str(part) for part in detail["loc"]]
    path = ".".join(parts)
    line = find_line(text, parts)
    if detail["type"] == "extra_forbidden":
        nearest = find_nearest(parts[-1], list_keys(parts[:-1]))
        hint = f"; did you mean {nearest!r}?" if nearest else ""
        return Finding(ErrorCode.UNKNOWN_KEY, path, f"unknown key{hint}", file, line)
    if detail["type"] == "missing":
        return Finding(ErrorCode.MISSING_KEY, path, "is required", file, line)
    shown = "" if _SECRETS.intersection(parts) else f", not {detail['input']!r}"
    return Finding(ErrorCode.BAD_VALUE, path, f"{detail['msg']}{shown}", file, line)


def list_keys(parents: list[str]) -> list[str]:
    """List the known keys of the object at a path of the settings."""
    model: type[BaseModel] | None = Settings
    for part in parents:
        if part.isdigit() or model is None:
            continue
        field = model.model_fields.get(part)
        model = None if field is None else _find_model(field.annotation)
    return [] if model is None else list(model.model_fields)


def _find_model(annotation: Any) -> type[BaseModel] | None:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    if get_origin(annotation) in (tuple, list, Union, UnionType):
        for argument in get_args(annotation):
            model = _find_model(argument)
            if model is not None:
                return model
    return None
