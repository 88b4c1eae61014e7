"""Reads objects of the configuration and builds changes to them."""

import json
from pathlib import Path
from typing import Any

import json5

from persimmonusher_ctl.client import OperatorClient
from persimmonusher_ctl.output import Output
from persimmonusher_model.errors import ErrorCode, Finding, UsherError
from persimmonusher_protocol import operator_pb2 as pb


def find_object(client: OperatorClient, kind: pb.ObjectKind, name: str) -> pb.ObjectRecord | None:
    """Return the live object, or None if there is none."""
    found = client.read_objects(kind, name).objects
    return found[0] if found else None


def require_object(client: OperatorClient, kind: pb.ObjectKind, name: str) -> pb.ObjectRecord:
    """Return the live object; raise UsherError if there is none."""
    found = find_object(client, kind, name)
    if found is None:
        word = pb.ObjectKind.Name(kind).lower()
        raise UsherError(ErrorCode.NOT_FOUND, f"there is no {word} named {name!r}")
    return found


def read_body(found: pb.ObjectRecord) -> dict[str, Any]:
    """Return the parsed JSON body of a live object."""
    document: dict[str, Any] = json.loads(found.body)
    return document


def find_base(
    client: OperatorClient, kind: pb.ObjectKind, name: str, based_on: int | None
) -> pb.ObjectRecord:
    """Return the record to build a change from: revision `based_on` if given, else the live one.

    An operator resends an accepted change whose answer was lost, with its id and `--based-on`.
    Built from the live object, it would be another change under the same id, which is refused.
    If the earlier record has been discarded, the live one is returned and a conflict results.
    """
    if based_on:
        for record in client.read_history(kind, name).objects:
            if record.revision == based_on and record.HasField("body"):
                return record
    return require_object(client, kind, name)


def find_base_revision(
    client: OperatorClient, kind: pb.ObjectKind, name: str, based_on: int | None
) -> int:
    """Return the revision that a retirement is based on: `based_on`, else the live object's.

    With `based_on` the object isn't looked up, so that a resend works after it was retired.
    """
    return require_object(client, kind, name).revision if based_on is None else based_on


def make_change(kind: pb.ObjectKind, name: str, based_on: int, document: Any) -> pb.Change:
    """Return the change that sets the object's body to the document; None retires the object."""
    change = pb.Change(kind=kind, name=name, based_on=based_on)
    if document is not None:
        change.body = json.dumps(document)
    return change


def read_document(path: Path | None, assignments: list[str]) -> dict[str, Any]:
    """Merge `field=value` assignments into the document of a JSON-with-comments file.

    Raise UsherError with all findings if an assignment is malformed.
    """
    document = _read_file(path) if path else {}
    findings = []
    for text in assignments:
        field, separator, value = text.partition("=")
        if not separator or not field:
            message = f"{text!r} is not field=value"
            findings.append(Finding(ErrorCode.BAD_VALUE, "--set", message))
            continue
        document[field.strip()] = _parse_value(value.strip())
    if findings:
        raise UsherError(ErrorCode.BAD_VALUE, "the options were refused", findings)
    return document


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


def _parse_value(text: str) -> Any:
    try:
        return json5.loads(text)
    except ValueError:
        return text


def show_objects(output: Output, found: pb.ObjectList) -> None:
    """Print objects with their revision, operator and body."""
    rows = [
        [item.name, str(item.revision), item.operator_name, _summarize(item)]
        for item in found.objects
    ]
    output.show(found, ["NAME", "REVISION", "OPERATOR", "BODY"], rows)


def show_history(output: Output, found: pb.ObjectList) -> None:
    """Print the records of an object with the id of the change behind each."""
    rows = [
        [str(item.revision), item.operator_name, item.change_id, _summarize(item)]
        for item in found.objects
    ]
    output.show(found, ["REVISION", "OPERATOR", "CHANGE-ID", "BODY"], rows)


def _summarize(item: pb.ObjectRecord) -> str:
    return item.body if item.HasField("body") else "(retired)"
