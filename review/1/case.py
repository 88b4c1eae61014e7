"""REFUSED, TWICE: the late extra copy of a rejection is taken for the answer to the retry."""

import os
import random
import sys
import threading
import time
from collections import Counter, defaultdict
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from deployment import Deployment, make_configuration  # noqa: E402
from traffic import Clients  # noqa: E402
from workers import Worker, send  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ATTEMPTS = int(os.environ.get("ATTEMPTS", "2"))
ONE_SERVICE = os.environ.get("ONE_SERVICE", "0") != "0"
"""Whether both workers are of one service, so that half of it sends extra answers."""
ANSWERS, WINDOW_S = 0.03, 5.0
PAUSE_S = 2.0
WINDOWS = 8
SLOTS, QUEUE, WORK_S = 3, 2, (0.01, 0.03)
ENTRIES, CLIENTS, REQUEST_PAUSE_S = 4, 12, 0.12


class FullWorker(Worker):
    """Rejects with `X-Not-Executed` what finds neither a slot nor a place in its queue."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.free = threading.Semaphore(SLOTS)
        self.inside = 0
        self.is_garbling = False
        self.answers = defaultdict(list)
        self.extras = 0

    def _serve(self, connection, born):
        self.local = getattr(self, "local", threading.local())
        self.local.late = None
        super()._serve(connection, born)

    def _answer(self, connection, reader, born):
        line = reader.readline()
        if not line:
            return False
        headers = {}
        while (head := reader.readline().strip()):
            name, _, value = head.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        reader.read(int(headers.get("content-length", 0)))
        if b" /health " in line:
            return send(connection, 200, [("X-Instance-Id", self.worker_id)], b"")
        if headers.get("x-expected-instance", self.worker_id) != self.worker_id:
            return send(connection, 421, [("X-Instance-Id", self.worker_id)], b"")
        attempt = headers["x-attempt-id"]
        late, self.local.late = self.local.late, None
        if late is not None:
            # "An extra response may arrive late, at the point where the next response is expected."
            send(connection, *late)
        with self.lock:
            is_full = self.inside >= SLOTS + QUEUE
            self.inside += not is_full
        if is_full:
            answer = (503, [("X-Attempt-Id", attempt), ("X-Not-Executed", "1")], b"")
        else:
            try:
                with self.free:
                    with self.lock:
                        self.runs.append((attempt, time.monotonic(), born))
                    time.sleep(random.uniform(*WORK_S))
            finally:
                with self.lock:
                    self.inside -= 1
            own = [("X-Attempt-Id", attempt), ("X-Response-Signature", "sig-" + attempt)]
            answer = (200, own, b"done " + attempt.encode())
        self.answers[attempt].append((time.monotonic(), answer[0], "real"))
        send(connection, *answer)
        if self.is_garbling and random.random() < ANSWERS:
            self.extras += 1
            self.answers[attempt].append((time.monotonic(), answer[0], "extra copy to come"))
            self.local.late = answer
        return True


def main():
    record = open(HERE / "record.txt", "w")
    started = time.monotonic()

    def note(text):
        print(f"{time.monotonic() - started:7.3f} {text}", file=record, flush=True)

    cores = {"k1": "za", "k2": "zb", "k3": "zc"}
    fronts = {f"e{number + 1}": ("za", "zb", "zc")[number % 3] for number in range(ENTRIES)}
    deployment = Deployment(cores, fronts)
    clients = Clients(deployment)
    workers = [
        FullWorker(f"w{number}", "s1" if ONE_SERVICE else f"s{number}", "za", f"{deployment.network}.{100 + number}")
        for number in (1, 2)
    ]
    over = threading.Event()
    try:
        deployment.start_all()
        routes = [(f"/u{number}/", "unsafe", "s1" if ONE_SERVICE else f"s{number}", 3000, ATTEMPTS) for number in (1, 2)]
        content = make_configuration(1, routes, ["s1", "s2"])
        if deployment.put_configuration(content) is None:
            return 2

        def beat(worker):
            while not over.is_set():
                any(worker.beat(deployment.control(core)) for core in cores)
                over.wait(1.5)

        for worker in workers:
            worker.begin()
            threading.Thread(target=beat, args=(worker,), daemon=True).start()
        if not deployment.wait_until_ready():
            return 2
        time.sleep(1.0)
        make_request = lambda: ("POST", random.choice(("/u1/x", "/u2/x")), b"x", 3000)  # noqa: E731
        clients.run(ENTRIES * CLIENTS, make_request, REQUEST_PAUSE_S)
        time.sleep(3.0)
        for _ in range(WINDOWS):
            garbling = workers[:1] if TROUBLE else []
            for worker in garbling:
                worker.is_garbling = True
            note(f"{[worker.worker_id for worker in garbling]} send extra answers late")
            time.sleep(WINDOW_S)
            for worker in garbling:
                worker.is_garbling = False
            note("none does")
            time.sleep(PAUSE_S)
        clients.end()
        over.set()
        time.sleep(1.0)

        runs = defaultdict(list)
        for worker in workers:
            for attempt, at, _ in worker.runs:
                runs[attempt].append((at - started, worker.worker_id))
        twice, refused = [], []
        for one in clients.sent:
            ran = sorted(runs.get(one.attempt, ()))
            print(
                f"request {one.attempt} to {one.entry} at {one.sent_at - started:.3f}: {one.status}, "
                f"ran {[f'{name}@{at:.3f}' for at, name in ran]}",
                file=record,
            )
            if len(ran) > 1:
                twice.append((one, ran))
            if one.status in (408, 421, 429, 503) and ran:
                refused.append((one, ran))
        for name, found in (("TWICE", twice), ("REFUSED", refused)):
            for one, ran in found:
                said = sorted(
                    (at - started, worker.worker_id, status, what)
                    for worker in workers
                    for at, status, what in worker.answers.get(one.attempt, ())
                )
                note(f"{name} {one.attempt} at {one.entry}: answered {one.status}, ran {ran}; workers answered {said}")
        note(f"statuses {dict(Counter(one.status for one in clients.sent))}")
        shed = sum(status == 503 for w in workers for said in w.answers.values() for _, status, what in said if what == "real")
        note(f"workers rejected {shed} and ran {sum(map(len, runs.values()))}; {sum(w.extras for w in workers)} extra answers")
        note(f"unsafe requests that ran twice: {len(twice)}; refused though they ran: {len(refused)}")
        return 1 if twice or refused else 0
    finally:
        over.set()
        clients.is_over.set()
        deployment.end()
        record.close()


sys.exit(main())
