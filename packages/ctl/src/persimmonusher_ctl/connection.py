"""Addresses of the operators' listeners and the token, from options, environment or a file."""

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Final

import json5
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from persimmonusher_model.errors import ErrorCode, Finding, UsherError
from persimmonusher_model.profile import collect_findings

SETTINGS_VARIABLE: Final = "PERSIMMONUSHERCTL_SETTINGS"
ADDRESSES_VARIABLE: Final = "PERSIMMONUSHERCTL_ADDRESSES"
TOKEN_VARIABLE: Final = "PERSIMMONUSHERCTL_TOKEN"

Address = Annotated[str, Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]


class ConnectionSettings(BaseModel):
    """The file that `--settings` names, JSON with comments."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    addresses: tuple[Address, ...] = Field(min_length=1)
    """Operators' listeners of one or more instances, tried in turn."""
    token: str = Field(min_length=1)


@dataclass(frozen=True)
class ConnectionOptions:
    """The connection options of the command line; None if an option was not given."""

    settings: Path | None = None
    addresses: str | None = None


def read_connection(options: ConnectionOptions) -> ConnectionSettings:
    """Return the settings; raise UsherError with all findings.

    Command line options override the environment, which overrides the settings file.
    """
    path = options.settings or os.environ.get(SETTINGS_VARIABLE)
    document = _read_file(Path(path)) if path else {}
    addresses = options.addresses or os.environ.get(ADDRESSES_VARIABLE)
    if addresses:
        document["addresses"] = [part.strip() for part in addresses.split(",") if part.strip()]
    if token := os.environ.get(TOKEN_VARIABLE):
        document["token"] = token
    try:
        return ConnectionSettings.model_validate(document)
    except ValidationError as error:
        found = collect_findings(error, tuple(ConnectionSettings.model_fields))
        file = str(path) if path else None
        findings = [Finding(item.code, item.path, item.message, file) for item in found]
        raise UsherError(
            ErrorCode.BAD_VALUE, "the connection settings were refused", findings
        ) from None


def _read_file(path: Path) -> dict[str, Any]:
    try:
        document = json5.loads(path.read_text())
    except OSError as error:
        raise UsherError(ErrorCode.UNREADABLE_FILE, f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise UsherError(ErrorCode.BAD_JSON, f"{path}: {error}") from None
    if not isinstance(document, dict):
        raise UsherError(ErrorCode.BAD_VALUE, f"{path}: is not a JSON object")
    return document
