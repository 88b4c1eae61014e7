"""Find comments of shipped code that tell of tuning, of runs, or of the users' bench.

A comment is for the reader of today's code. Where a value comes from stands in the commit that
brought it, or in docs/CAPACITY.md and docs/deciding.md, beside the run.
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
FOLDERS: Final = (
    "packages/model/src",
    "packages/decisions/src",
    "packages/agreement/src",
    "packages/node/src",
    "packages/ctl/src",
    "platform/src",
)
TUNING: Final = re.compile(
    r"\b(simulated|benchmark|fleetbench|the bench|played days?|journal entr|"
    r"in \w+ runs?\b|seeds? differ|was measured|were measured|measured on|"
    r"ms of processor|of a core|seen so far|took (a|an|one) \w+|were ejected)",
    re.IGNORECASE,
)


@dataclass(frozen=True)
class TuningStory:
    """One line of a comment or docstring that tells where a value came from."""

    path: str
    line: int
    text: str

    def __str__(self) -> str:
        return f"{self.path}:{self.line}: a comment tells of tuning: {self.text}"


def list_prose(source: str) -> Iterator[tuple[int, str]]:
    """Yield each line of the comments and of the strings that stand alone, with its number."""
    begins_statement = True
    for token in tokenize.generate_tokens(io.StringIO(source).readline):
        if token.type == tokenize.COMMENT or (token.type == tokenize.STRING and begins_statement):
            for offset, text in enumerate(token.string.splitlines()):
                yield token.start[0] + offset, text.strip()
        if token.type not in (tokenize.COMMENT, tokenize.NL):
            kinds = (tokenize.NEWLINE, tokenize.INDENT, tokenize.DEDENT, tokenize.ENCODING)
            begins_statement = token.type in kinds


def find_stories(source: str, path: str) -> list[TuningStory]:
    """List the lines of one module's comments that tell of tuning."""
    return [
        TuningStory(path, line, text) for line, text in list_prose(source) if TUNING.search(text)
    ]


def main() -> int:
    """Check all shipped modules and return the exit code."""
    found: list[TuningStory] = []
    for folder in FOLDERS:
        for path in sorted((ROOT / folder).rglob("*.py")):
            if not path.name.endswith("_pb2.py"):
                found.extend(find_stories(path.read_text(), str(path.relative_to(ROOT))))
    for story in found:
        print(story)
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
