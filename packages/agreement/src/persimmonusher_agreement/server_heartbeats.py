"""Heartbeats of backend servers: forwarded from the entries that receive them to the watchers."""

from dataclasses import replace

from persimmonusher_agreement.directory import Directory
from persimmonusher_agreement.member_table import MemberTable
from persimmonusher_agreement.membership_limits import MembershipLimits
from persimmonusher_agreement.membership_messages import Heartbeat
from persimmonusher_agreement.probing import Outgoing
from persimmonusher_agreement.server_record import ServerRecord, ServerState
from persimmonusher_agreement.watch import SilenceWatch, choose_stride
from persimmonusher_agreement.watchers import WatcherChoice


class ServerHeartbeats:
    """Forwards announcements to watchers, and is itself a watcher of its share of the servers."""

    def __init__(self, table: MemberTable, directory: Directory, limits: MembershipLimits) -> None:
        self._table = table
        self._directory = directory
        self._limits = limits
        own = table.own.instance_id
        self.choice = WatcherChoice(own, limits.watchers)
        self.watch = SilenceWatch(own, directory, self.choice, limits)

    def forward(self, record: ServerRecord, active: float) -> list[Outgoing]:
        """Return the heartbeats for the server's watchers; record it here if we are a watcher.

        All heartbeats of a leaving server are forwarded, so that its watchers know of the drain
        even if the entry that received it stops before its rumours arrive.
        """
        self._refresh()
        leaving = record.state >= ServerState.DRAINING
        if not leaving and (record.sequence + record.key_hash) % self.watch.stride:
            return []
        heartbeat = Heartbeat(record.server_id, record.boot_id, record.sequence, record.state)
        own = self._table.own.instance_id
        outgoing: list[Outgoing] = []
        for name in self.choice.list_watchers(record.server_id):
            if name == own:
                self.watch.receive(heartbeat, active)
                continue
            address = self._table.live[name].peer_address
            outgoing.append(Outgoing(address, name, heartbeat))
        return outgoing

    def receive(self, heartbeat: Heartbeat, active: float) -> ServerRecord | None:
        """Record a heartbeat; return the server's new record if the heartbeat changes its state."""
        record = self._directory.find(heartbeat.server_id)
        if record is None or record.boot_id != heartbeat.boot_id:
            return None
        self.watch.receive(heartbeat, active)
        if heartbeat.sequence <= record.sequence:
            return None
        if heartbeat.state is record.state and not record.lost:
            return None
        return replace(record, state=heartbeat.state, sequence=heartbeat.sequence, lost=False)

    def learn(self, record: ServerRecord, active: float) -> ServerRecord | None:
        """Count a changed record as a sign of life; for a wrong loss, return a newer record."""
        if record.lost:
            return self.watch.find_newer(record, active)
        self.watch.learn(record, active)
        return None

    def tick(self, active: float) -> tuple[list[Outgoing], list[ServerRecord]]:
        """Return the queries to other watchers, and the records of servers found to be lost."""
        self._refresh()
        step = self.watch.tick(active, self._table.sees_majority)
        outgoing = [
            Outgoing(self._table.live[name].peer_address, name, query)
            for name, query in step.queries
            if name in self._table.live
        ]
        return outgoing, step.lost

    def _refresh(self) -> None:
        live = self._table.live
        self.choice.update(live, self._table.changes)
        self.watch.stride = choose_stride(self._directory.live_count, len(live), self._limits)
