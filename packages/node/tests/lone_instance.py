"""Runs one instance as a process, with its configuration in memory.

Usage: `python lone_instance.py SETTINGS PROFILE`; both arguments are JSON documents.
"""

from persimmonusher_node import loop

loop.install()

import sys  # noqa: E402
from random import Random  # noqa: E402

from persimmonusher_model.identifiers import (  # noqa: E402
    FailureDomain,
    InstanceId,
    ServiceName,
)
from persimmonusher_model.profile import Profile  # noqa: E402
from persimmonusher_node.clock import SystemClock  # noqa: E402
from persimmonusher_node.daemon import Daemon  # noqa: E402
from persimmonusher_node.logs import LoggingObserver, configure_logs  # noqa: E402
from persimmonusher_node.memory import (  # noqa: E402
    MemoryClaims,
    MemoryConfiguration,
    MemoryDirectory,
    MemoryMembership,
)
from persimmonusher_node.parts import Parts  # noqa: E402
from persimmonusher_node.ports import Instance  # noqa: E402
from persimmonusher_node.settings import Settings  # noqa: E402
from persimmonusher_node.shutdown import StopSignal  # noqa: E402

HOST = "entries.example"
SERVICE = ServiceName("entries")


def main() -> None:
    settings = Settings.model_validate_json(sys.argv[1])
    profile = Profile.model_validate_json(sys.argv[2])
    configure_logs(settings)
    instance = Instance(
        InstanceId(settings.instance_id),
        FailureDomain(settings.failure_domain),
        settings.listen.peers,
        ("entry",),
    )
    parts = Parts(
        MemoryConfiguration({HOST: SERVICE}, {SERVICE: profile}),
        MemoryDirectory(),
        MemoryMembership([instance]),
        MemoryClaims(),
    )
    clock = SystemClock()
    stop = StopSignal(clock)
    stop.install()
    observer = LoggingObserver(clock, settings.log_level)
    daemon = Daemon(settings, parts, observer, clock, Random(1))
    sys.exit(0 if daemon.run(stop) else 3)


if __name__ == "__main__":
    main()
