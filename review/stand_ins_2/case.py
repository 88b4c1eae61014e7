"""What all cases share: the record, the exit status, and the start of a small deployment."""

import asyncio
import os
import signal
import sys
import time
import traceback
from pathlib import Path

import parts
from fleet import Fleet

BROKEN, HELD, NOT_RUN = 1, 0, 2


class NotPossible(Exception):
    """The case could not run as it should."""


class Record:
    """Writes record.txt in the folder of the case, with the seconds since the start."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._began = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self._began:8.3f} {text}"
        print(line, file=self._file, flush=True)
        if not text.startswith(("client ", "worker ")):
            print(line, flush=True)


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


async def set_up(fleet, record, rules, services, workers, ready_path, **how):
    """Put the first configuration in force, register the workers, wait until requests are served."""
    controls = [fleet.control(core) for core in fleet.cores]
    document = parts.make_configuration(1, rules, services)
    answer = await parts.put_configuration(controls, document)
    record(f"configuration r1: {answer.status}")
    if answer.status != 200:
        raise NotPossible("the first configuration was not acknowledged")
    for worker in workers:
        answer = await worker.beat(controls[0])
        record(f"{worker.id} ({worker.service}) at {worker.address} registers: {answer.status}")
        if answer.status != 200:
            raise NotPossible("a worker was not registered")
    fronts = [fleet.front(front) for front in fleet.fronts]
    if not await parts.wait_ready(fronts, ready_path, **how):
        raise NotPossible("requests are not served")
    await asyncio.sleep(4.0)
    return controls, fronts


def run(script, play, cores=5, fronts=3):
    """Play a case; `play(fleet, record)` returns whether the rule was broken."""

    def stop(number, frame):
        raise SystemExit(NOT_RUN)

    signal.signal(signal.SIGTERM, stop)
    folder = Path(script).resolve().parent
    record = Record(folder)
    record(f"TROUBLE={int(has_trouble())}")
    fleet = None
    try:
        fleet = Fleet(cores, fronts)
        broken = asyncio.run(asyncio.wait_for(play(fleet, record), 105.0))
        for name, process in fleet.processes.items():
            if process.poll() is not None:
                record(f"{name} has ended by itself: {process.returncode}")
        record("the rule was broken" if broken else "the rule held")
        status = BROKEN if broken else HELD
    except (NotPossible, OSError, TimeoutError) as error:
        record(f"the case could not run: {error!r}")
        status = NOT_RUN
    except Exception:
        record("the case could not run: " + traceback.format_exc())
        status = NOT_RUN
    finally:
        if fleet is not None:
            fleet.stop()
    sys.exit(status)
