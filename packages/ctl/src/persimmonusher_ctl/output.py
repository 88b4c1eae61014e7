"""Prints results as tables or JSON, and exits with the documented exit codes."""

import json
import sys
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from typing import Any, Final, NoReturn

import typer
from google.protobuf.json_format import MessageToDict

from persimmonusher_ctl.exits import Exit
from persimmonusher_model.errors import ErrorCode, UsherError

EXITS_BY_ERROR_CODE: Final = {
    ErrorCode.UNAUTHENTICATED: Exit.UNAUTHENTICATED,
    ErrorCode.NOT_FOUND: Exit.NOT_FOUND,
    ErrorCode.UNAVAILABLE: Exit.UNREACHABLE,
    ErrorCode.CONFLICT: Exit.CONFLICT,
    ErrorCode.NO_QUORUM: Exit.UNKNOWN,
    ErrorCode.INTERNAL: Exit.INTERNAL,
}


class Output:
    """Prints the result of a command as JSON if `as_json`, else as a table."""

    def __init__(self, as_json: bool) -> None:
        self.as_json = as_json

    def show(self, message: Any, header: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
        """Print a protobuf message as JSON, or the rows as a table."""
        self.show_document(to_document(message) if self.as_json else None, header, rows)

    def show_document(
        self, document: Any, header: Sequence[str], rows: Sequence[Sequence[str]]
    ) -> None:
        """Print a document as JSON, or the rows as a table."""
        if self.as_json:
            typer.echo(json.dumps(document, indent=2))
            return
        for line in format_table(header, rows):
            typer.echo(line)

    def print_note(self, text: str) -> None:
        """Print a remark on standard error, since programs parse standard output."""
        typer.echo(text, err=True)


def to_document(message: Any) -> Any:
    """Return a message as a JSON document with all fields, named as in the .proto file."""
    document = MessageToDict(
        message, preserving_proto_field_name=True, always_print_fields_with_no_presence=True
    )
    return _restore_numbers(document)


def _restore_numbers(value: Any, key: str = "") -> Any:
    """Convert 64-bit numbers, which protobuf's JSON writes as strings, back to numbers."""
    if isinstance(value, dict):
        return {name: _restore_numbers(item, name) for name, item in value.items()}
    if isinstance(value, list):
        return [_restore_numbers(item, key) for item in value]
    if key in _INTEGER_FIELDS and isinstance(value, str):
        return int(value)
    return value


_INTEGER_FIELDS: Final = frozenset(
    {"revision", "based_on", "term", "last_index", "committed_index"}
)


def format_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> Iterator[str]:
    """Yield the lines of a table with aligned columns.

    >>> list(format_table(["NAME", "AGE"], [["a", "10"]]))
    ['NAME  AGE', 'a     10']
    """
    lines = [list(header), *(list(row) for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(header))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        yield "  ".join(cells).rstrip()


@contextmanager
def exit_on_error() -> Iterator[None]:
    """Print an UsherError and exit the process with the exit code for it."""
    try:
        yield
    except UsherError as error:
        fail(str(error), EXITS_BY_ERROR_CODE.get(error.code, Exit.REFUSED))


def fail(message: str, code: Exit) -> NoReturn:
    """Print the message on standard error and exit the process."""
    typer.echo(message, err=True)
    sys.exit(int(code))
