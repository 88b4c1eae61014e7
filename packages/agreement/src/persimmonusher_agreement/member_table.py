"""The instances that this one knows, its own record, and the running suspicions."""

from dataclasses import replace

from persimmonusher_agreement.member_record import MemberRecord, MemberState
from persimmonusher_agreement.membership_limits import MembershipLimits
from persimmonusher_agreement.record import hash_key
from persimmonusher_agreement.record_store import RecordStore
from persimmonusher_model.identifiers import InstanceId


class MemberTable:
    """Merges records of instances and refutes wrong records of this one."""

    def __init__(
        self,
        own: MemberRecord,
        store: RecordStore,
        limits: MembershipLimits,
        expects_others: bool = True,
    ) -> None:
        self.own = own
        self._expects_others = expects_others
        self.live: dict[InstanceId, MemberRecord] = {own.instance_id: own}
        """Alive and suspected instances, this one included."""
        self.dead: dict[InstanceId, MemberRecord] = {}
        """Instances declared dead and not yet removed; those that left are not among them."""
        self.suspected_count = 0
        """Suspicions that this instance raised itself."""
        self.declared_count = 0
        """Instances that this one declared dead itself, when a suspicion timed out."""
        self.changes = 0
        """Rises whenever `live` changes, so that lists derived from it can be cached."""
        self._store = store
        self._limits = limits
        self._suspicions: dict[InstanceId, float] = {}
        self._removed_at: dict[InstanceId, float] = {}
        self._peers: tuple[int, list[MemberRecord]] = (-1, [])
        store.put(own)

    @property
    def is_alone(self) -> bool:
        """Return whether this instance is the whole fleet: no other is live or in its settings."""
        return len(self.live) == 1 and not self._expects_others

    @property
    def sees_majority(self) -> bool:
        """Return whether more than half of the known fleet, without those that left, is live.

        Of two equal halves, the one with the first name counts as the majority. An instance that
        has seeds but knows no other instance isn't a majority: it may have restarted while cut off,
        and would declare every backend server lost that it doesn't hear.
        """
        if len(self.live) == 1 and self._expects_others:
            return False
        if len(self.live) != len(self.dead):
            return len(self.live) > len(self.dead)
        return min(self.live) < min(self.dead)

    def list_peers(self) -> list[MemberRecord]:
        """List the live instances except this one; the caller must not change the list."""
        if self._peers[0] != self.changes:
            own = self.own.instance_id
            peers = [member for member in self.live.values() if member.instance_id != own]
            self._peers = (self.changes, peers)
        return self._peers[1]

    def find(self, instance_id: InstanceId) -> MemberRecord | None:
        """Return the record of a live or dead instance, or None if it isn't known."""
        return self.live.get(instance_id) or self.dead.get(instance_id)

    def apply(self, record: MemberRecord, active: float) -> MemberRecord | None:
        """Merge a record; return the one to send on, or None if it brought nothing new."""
        if record.instance_id == self.own.instance_id:
            return self._refute(record)
        if not self._store.put(record):
            return None
        self._place(record, active)
        return record

    def suspect(self, instance_id: InstanceId, active: float) -> MemberRecord | None:
        """Suspect an alive instance that answered no probe; return the record to send on."""
        member = self.live.get(instance_id)
        if member is None or member.state is not MemberState.ALIVE:
            return None
        self.suspected_count += 1
        return self.apply(replace(member, state=MemberState.SUSPECT), active)

    def expire(self, active: float) -> list[MemberRecord]:
        """Declare dead whose suspicion timed out, remove old dead, and return the newly dead."""
        late = [name for name, due in self._suspicions.items() if active >= due]
        died = [replace(self.live[name], state=MemberState.DEAD) for name in late]
        merged = [record for record in died if self.apply(record, active) is not None]
        self.declared_count += len(merged)
        limits = self._limits
        retention = (
            limits.dead_retention_seconds
            if self.sees_majority
            else limits.minority_retention_seconds
        )
        kept_since = active - retention
        for name in [name for name, since in self._removed_at.items() if since < kept_since]:
            self._forget(name)
        return merged

    def leave(self) -> MemberRecord:
        """Set this instance's own state to LEFT and return its record; nothing refutes it then."""
        self._replace_own(replace(self.own, state=MemberState.LEFT))
        return self.own

    def _refute(self, record: MemberRecord) -> MemberRecord | None:
        """Answer a wrong record of this instance with a higher incarnation.

        Failure: this instance was suspected, was declared dead while its process was paused, or has
        a record of a former process whose clock was ahead. Then the others treat a live instance as
        gone. Only the subject raises its incarnation, so the refutation supersedes every copy.
        """
        if self.own.state is MemberState.LEFT or record.incarnation < self.own.incarnation:
            return None
        if record.describe() == self.own.describe() and record.state is MemberState.ALIVE:
            return None
        self._replace_own(replace(self.own, incarnation=record.incarnation + 1))
        return self.own

    def _replace_own(self, record: MemberRecord) -> None:
        self.own = record
        self.live[record.instance_id] = record
        self._store.put(record)
        self.changes += 1

    def _place(self, record: MemberRecord, active: float) -> None:
        name = record.instance_id
        self._suspicions.pop(name, None)
        self._removed_at.pop(name, None)
        self.dead.pop(name, None)
        self.changes += 1
        if not record.is_tombstone:
            self.live[name] = record
            if record.state is MemberState.SUSPECT:
                timeout = self._limits.suspicion_timeout_seconds(len(self.live))
                self._suspicions[name] = active + timeout
            return
        self.live.pop(name, None)
        self._removed_at[name] = active
        if record.state is MemberState.DEAD:
            self.dead[name] = record

    def _forget(self, name: InstanceId) -> None:
        del self._removed_at[name]
        self.dead.pop(name, None)
        tombstone = self._store.get(hash_key(f"m/{name}"))
        if tombstone is not None:
            self._store.remove(tombstone)
