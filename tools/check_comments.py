"""Find comments in shipped code that describe tuning, test runs or the users' benchmark.

Comments explain the present code. How a value was found belongs in its commit, or in
docs/CAPACITY.md and docs/deciding.md beside the run.
"""

import io
import re
import sys
import tokenize
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parent.parent
SHIPPED_FOLDERS: Final = (
    "packages/model/src",
    "packages/decisions/src",
    "packages/agreement/src",
    "packages/node/src",
    "packages/ctl/src",
    "platform/src",
)
TUNING_PATTERN: Final = re.compile(
    r"\b(simulated|benchmark|fleetbench|the bench|played days?|journal entr|"
    r"in \w+ runs?\b|seeds? differ|was measured|were measured|measured on|"
    r"ms of processor|of a core|seen so far|took (a|an|one) \w+|were ejected)",
    re.IGNORECASE,
)


@dataclass(frozen=True)
class TuningComment:
    """One line of a comment or docstring that describes how a value was found."""

    path: str
    line: int
    text: str

    def __str__(self) -> str:
        return f"{self.path}:{self.line}: comment describes how a value was found: {self.text}"


def list_prose(source: str) -> Iterator[tuple[int, str]]:
    """Yield the number and text of each line in comments and in strings that are statements."""
    begins_statement = True
    for token in tokenize.generate_tokens(io.StringIO(source).readline):
        if token.type == tokenize.COMMENT or (token.type == tokenize.STRING and begins_statement):
            for offset, text in enumerate(token.string.splitlines()):
                yield token.start[0] + offset, text.strip()
        if token.type not in (tokenize.COMMENT, tokenize.NL):
            kinds = (tokenize.NEWLINE, tokenize.INDENT, tokenize.DEDENT, tokenize.ENCODING)
            begins_statement = token.type in kinds


def find_stories(source: str, path: str) -> list[TuningComment]:
    """List the lines of one module's comments that describe how a value was found."""
    return [
        TuningComment(path, line, text)
        for line, text in list_prose(source)
        if TUNING_PATTERN.search(text)
    ]


def main() -> int:
    """Print the findings in all shipped modules; return 1 if there are any, else 0."""
    found: list[TuningComment] = []
    for folder in SHIPPED_FOLDERS:
        for path in sorted((ROOT / folder).rglob("*.py")):
            if not path.name.endswith("_pb2.py"):
                found.extend(find_stories(path.read_text(), str(path.relative_to(ROOT))))
    for finding in found:
        print(finding)
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
