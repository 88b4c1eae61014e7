"""A small fleet of real processes on loopback: instances, stand-in backend servers, operators.

Each process gets an address of its own in 127.0.0.0/8, as the instances of a real fleet do. Each
run uses a network of its own, so that concurrent runs don't collide.
"""

import json
import random
import socket
import time
import urllib.request
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Final, TypeVar

from persimmonusher_ctl.client import OperatorClient
from persimmonusher_lab.faults import Faults
from persimmonusher_lab.processes import LabProcess, ProcessRunner

CALLERS_PORT: Final = 8080
ANNOUNCEMENTS_PORT: Final = 8081
PEERS_PORT: Final = 7000
OPERATORS_PORT: Final = 7001
METRICS_PORT: Final = 9100
BACKEND_PORT: Final = 8100
FIRST_BACKEND_HOST: Final = 100
FOUNDING_INSTANCES: Final = 5
"""The default in the settings. A smaller fleet sets its own size, as it can't wait for as many."""
PEER_TOKEN: Final = "lab-peers"
OPERATOR_NAME: Final = "lab"
OPERATOR_TOKEN: Final = "lab-operator"
POLL_INTERVAL_SECONDS: Final = 0.1

Found = TypeVar("Found")


@dataclass(frozen=True)
class InstancePlan:
    """One instance of the fleet."""

    instance_id: str
    host: str
    failure_domain: str
    is_keeper: bool

    def at(self, port: int) -> str:
        """Return the instance's address on a port."""
        return f"{self.host}:{port}"


@dataclass(frozen=True)
class ServerPlan:
    """One stand-in backend server."""

    server_id: str
    service: str
    address: str
    failure_domain: str
    service_ms: float = 20.0
    slots: int = 4
    listens_at: str = ""
    """The address it listens on if the announced one is a relay's; otherwise empty."""


def choose_network() -> str:
    """Return the first three bytes of a random /24 network of 127.0.0.0/8 that isn't in use.

    A network counts as in use if `PEERS_PORT` can't be bound at its host 1.
    """
    chooser = random.SystemRandom()
    while True:
        prefix = f"127.{chooser.randint(16, 250)}.{chooser.randint(1, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{prefix}.1", PEERS_PORT))
            except OSError:
                continue
        return prefix


def plan_instances(network: str, count: int, keepers: int) -> list[InstancePlan]:
    """Plan instances i1, i2, ... over three failure domains; the first `keepers` are keepers."""
    return [
        InstancePlan(
            f"i{number}", f"{network}.{number}", "abc"[(number - 1) % 3], number <= keepers
        )
        for number in range(1, count + 1)
    ]


def plan_servers(network: str, counts: dict[str, int]) -> list[ServerPlan]:
    """Plan the given number of servers of each service, over three failure domains."""
    plans: list[ServerPlan] = []
    for service, count in counts.items():
        for number in range(1, count + 1):
            host = f"{network}.{FIRST_BACKEND_HOST + len(plans)}"
            domain = "abc"[number % 3]
            plans.append(
                ServerPlan(f"{service}-{number}", service, f"{host}:{BACKEND_PORT}", domain)
            )
    return plans


def make_settings(
    plan: InstancePlan, fleet: Sequence[InstancePlan], folder: Path
) -> dict[str, object]:
    """Return the settings document of one instance."""
    keepers = [item for item in fleet if item.is_keeper]
    document: dict[str, object] = {
        "instance_id": plan.instance_id,
        "failure_domain": plan.failure_domain,
        "listen": {
            "callers": plan.at(CALLERS_PORT),
            "announcements": plan.at(ANNOUNCEMENTS_PORT),
            "peers": plan.at(PEERS_PORT),
            "operators": plan.at(OPERATORS_PORT),
            "metrics": plan.at(METRICS_PORT),
        },
        "seeds": [item.at(PEERS_PORT) for item in keepers if item is not plan],
        "keepers": [
            {"instance_id": item.instance_id, "address": item.at(PEERS_PORT)} for item in keepers
        ],
        "peer_token": PEER_TOKEN,
        "operator_tokens": {OPERATOR_NAME: OPERATOR_TOKEN},
        "log_level": "info",
        "claims": {"founding_instances": min(len(fleet), FOUNDING_INSTANCES)},
    }
    if plan.is_keeper:
        document["data_folder"] = str(folder / f"{plan.instance_id}-data")
    return document


class Fleet:
    """Starts and controls the processes of one small fleet."""

    def __init__(
        self,
        runner: ProcessRunner,
        folder: Path,
        instances: Sequence[InstancePlan],
        servers: Sequence[ServerPlan],
    ) -> None:
        self.runner = runner
        self.folder = folder
        self.instances = list(instances)
        self.servers = list(servers)
        self.ledgers = folder / "ledgers"
        self.ledgers.mkdir()
        self.processes: dict[str, LabProcess] = {}

    def start_instance(self, plan: InstancePlan) -> None:
        """Write the instance's settings and start it; also restarts one that has ended."""
        settings = self.folder / f"{plan.instance_id}.json"
        document = make_settings(plan, self.instances, self.folder)
        settings.write_text(json.dumps(document, indent=2))
        if plan.is_keeper:
            (self.folder / f"{plan.instance_id}-data").mkdir(exist_ok=True)
        self.processes[plan.instance_id] = self.runner.start(
            plan.instance_id, ["persimmonusher_node", "run", str(settings)]
        )

    def start_server(self, plan: ServerPlan) -> None:
        """Start a stand-in that announces itself to the announcement addresses of all instances.

        If `listens_at` is set, the stand-in listens there, behind a relay that listens on the
        announced address.
        """
        announce_to = ",".join(item.at(ANNOUNCEMENTS_PORT) for item in self.instances)
        arguments = [plan.server_id, plan.service, plan.address]
        if plan.listens_at:
            arguments += ["--listen", plan.listens_at]
        options = {
            "ledger": str(self.ledgers / f"{plan.server_id}.jsonl"),
            "announce-to": announce_to,
            "failure-domain": plan.failure_domain,
            "service-ms": str(plan.service_ms),
            "slots": str(plan.slots),
            "seed": str(len(self.processes)),
        }
        for name, value in options.items():
            arguments += [f"--{name}", value]
        self.processes[plan.server_id] = self.runner.start(
            plan.server_id, ["persimmonusher_lab", "backend-server", *arguments]
        )

    def start_load(
        self, number: int, host: str, seconds: float, rate: float, deadline_ms: int = 5_000
    ) -> tuple[LabProcess, Path]:
        """Start a load over all instances, seeded by its number; return it with its report."""
        report = self.folder / f"load-{number}.jsonl"
        options = {
            "report": report,
            "seconds": seconds,
            "rate": rate,
            "seed": number,
            "deadline-ms": deadline_ms,
        }
        arguments = [",".join(self.list_caller_addresses()), host]
        for name, value in options.items():
            arguments += [f"--{name}", str(value)]
        process = self.runner.start(f"load-{number}", ["persimmonusher_lab", "load", *arguments])
        return process, report

    def start_all(self) -> None:
        """Start every instance and every server."""
        for instance in self.instances:
            self.start_instance(instance)
        for server in self.servers:
            self.start_server(server)

    def make_client(self, seconds: float = 10.0) -> OperatorClient:
        """Return an operators' client over all running instances, with a timeout in seconds."""
        running = [item for item in self.instances if self.processes[item.instance_id].is_running]
        addresses = [item.at(OPERATORS_PORT) for item in running]
        return OperatorClient(addresses, OPERATOR_TOKEN, seconds)

    def list_caller_addresses(self) -> list[str]:
        """List the instances' addresses for callers, as the platform's balancer knows them."""
        return [item.at(CALLERS_PORT) for item in self.instances]

    def set_faults(self, server_id: str, faults: Faults) -> None:
        """Replace the faults of one stand-in."""
        self._control(server_id, "/lab/faults", faults.model_dump_json())

    def set_state(self, server_id: str, state: str) -> None:
        """Change the state that one stand-in announces."""
        self._control(server_id, "/lab/state", state)

    def _control(self, server_id: str, path: str, body: str) -> None:
        plan = next(item for item in self.servers if item.server_id == server_id)
        address = plan.listens_at or plan.address
        request = urllib.request.Request(f"http://{address}{path}", body.encode())
        with urllib.request.urlopen(request, timeout=5.0):
            pass


def wait_for(
    what: str, find: Callable[[], Found | None], seconds: float, runner: ProcessRunner | None = None
) -> Found:
    """Poll until `find` returns neither None nor False, and return its result.

    Raise TimeoutError that names `what` after `seconds`. With a runner, raise RuntimeError as soon
    as one of its children has crashed.
    """
    deadline = time.monotonic() + seconds
    problem = ""
    while time.monotonic() < deadline:
        try:
            found = find()
        except Exception as error:  # the fleet is still starting: the last error is reported
            problem = f"; last: {error}"
            found = None
        if found is not None and found is not False:
            return found
        if runner is not None and (crashed := runner.list_crashed()):
            raise RuntimeError(f"{crashed[0].name} crashed while waiting for {what}")
        time.sleep(POLL_INTERVAL_SECONDS)
    raise TimeoutError(f"waited {seconds} s for {what}{problem}")
