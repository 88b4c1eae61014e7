"""Run the tests of each package in a separate process and print one summary.

Packages need separate processes because the node's tests patch the standard library for eventlet.
Tests listed in KNOWN-RED.txt may fail; their failures are printed, and so is a listed test that
passes, so that obsolete entries are noticed.
"""

import json
import os
import subprocess
import sys
import tempfile
import unittest
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parent.parent
FIRST_PACKAGES: Final = ("model", "decisions", "agreement", "protocol", "ctl", "lab")
"""Packages whose tests use virtual time, followed by two with few processes and sockets; they run
one after the other, in parallel to LONG_PACKAGES."""
LONG_PACKAGES: Final = ("node", "platform")
"""Packages whose tests have processes and sockets with deadlines; they run one after the other."""
FOLDERS: Final = {"platform": ROOT / "platform"}
"""Folders of the packages that are not under packages/."""
PACKAGES: Final = (*FIRST_PACKAGES, *LONG_PACKAGES)
KNOWN_RED: Final = ROOT / "KNOWN-RED.txt"
PACKAGE_TIMEOUT_SECONDS: Final = 900
"""Time after which a package's tests count as hanging."""


@dataclass(frozen=True)
class PackageResult:
    """The test ids of one package by outcome."""

    passed: tuple[str, ...]
    failed: tuple[str, ...]
    skipped: tuple[str, ...]


class RecordingResult(unittest.TextTestResult):
    """A text result that also records the ids of the tests that passed."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)  # type: ignore[arg-type]
        self.passed: list[str] = []

    def addSuccess(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Record the id of a test that passed."""
        super().addSuccess(test)
        self.passed.append(test.id())

    def failed_ids(self) -> list[str]:
        """List the ids of tests with a failure or error; subtests count under their parent's id."""
        not_passed = [test for test, _ in (*self.failures, *self.errors)]
        ids = [getattr(test, "test_case", test).id() for test in not_passed]
        unexpected = [test.id() for test in self.unexpectedSuccesses]
        return sorted({*ids, *unexpected})


def run_package(package: str, report: Path, pattern: str) -> None:
    """Run one package's tests in this process and write their ids to the report file."""
    tests = FOLDERS.get(package, ROOT / "packages" / package) / "tests"
    loader = unittest.defaultTestLoader
    suite = loader.discover(str(tests), pattern=pattern, top_level_dir=str(tests))
    runner = unittest.TextTestRunner(resultclass=RecordingResult, verbosity=1, buffer=True)
    result = runner.run(suite)
    assert isinstance(result, RecordingResult)
    failed = result.failed_ids()
    outcome = {
        "passed": [test for test in result.passed if test not in failed],
        "failed": failed,
        "skipped": [test.id() for test, _ in result.skipped],
    }
    report.write_text(json.dumps(outcome))


def start_package(package: str, pattern: str) -> PackageResult:
    """Run one package's tests in a child process; a crash or timeout counts as a failure."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [sys.executable, __file__, "--package", package, str(report), pattern]
        try:
            completed = subprocess.run(
                command,
                cwd=ROOT,
                timeout=PACKAGE_TIMEOUT_SECONDS,
                check=False,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
            )
            print(f"== {package}\n{completed.stdout}", flush=True)
        except subprocess.TimeoutExpired:
            print(f"{package}: ended after {PACKAGE_TIMEOUT_SECONDS} s", file=sys.stderr)
        if not report.exists():
            return PackageResult((), (f"{package}: the test process ended early",), ())
        outcome = json.loads(report.read_text())
    return PackageResult(
        tuple(outcome["passed"]), tuple(outcome["failed"]), tuple(outcome["skipped"])
    )


def read_known_red() -> set[str]:
    """Read the ids of tests that may fail: the text before the first colon of each line."""
    if not KNOWN_RED.exists():
        return set()
    lines = (line.strip() for line in KNOWN_RED.read_text().splitlines())
    return {line.split(":")[0].strip() for line in lines if line and not line.startswith("#")}


def main() -> int:
    """Run all packages, or those named on the command line, and return the exit code.

    The first argument that names no package is the file pattern of the tests, as in `test_name*`.
    """
    if sys.argv[1:2] == ["--package"]:
        run_package(sys.argv[2], Path(sys.argv[3]), sys.argv[4])
        return 0
    os.environ.setdefault("PYTHONHASHSEED", "0")
    chosen = [name for name in sys.argv[1:] if name in PACKAGES] or PACKAGES
    patterns = [name for name in sys.argv[1:] if name not in PACKAGES]
    known_red = read_known_red()
    passed: list[str] = []
    failed: list[str] = []
    skipped: list[str] = []
    pattern = patterns[0] if patterns else "test*.py"
    groups = [
        [name for name in group if name in chosen] for group in (FIRST_PACKAGES, LONG_PACKAGES)
    ]
    with ThreadPoolExecutor(len(groups)) as pool:
        found = pool.map(lambda group: [start_package(name, pattern) for name in group], groups)
        results = [result for group in found for result in group]
    for result in results:
        passed.extend(result.passed)
        failed.extend(result.failed)
        skipped.extend(result.skipped)
    known_failures = [test for test in failed if test in known_red]
    new_failures = [test for test in failed if test not in known_red]
    for test in known_failures:
        print(f"KNOWN RED {test}")
    for test in sorted(known_red.intersection(passed)):
        print(f"KNOWN RED but passed this time: {test}")
    for test in skipped:
        print(f"SKIPPED {test}")
    for test in new_failures:
        print(f"FAILED {test}")
    print(f"{len(passed)} passed, {len(new_failures)} failed")
    return 1 if new_failures or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
