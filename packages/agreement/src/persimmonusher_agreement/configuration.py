"""The configuration as a deterministic state machine over committed changes.

Every keeper applies the same changes in the same order and so reaches the same verdicts. Checks
that may differ between versions of the program, such as those of a profile's fields, are made by
the leader before it appends a change (`change_check`). `apply` depends on the state alone, so that
the state of keepers of two versions can't diverge during an upgrade.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from typing import Final

from persimmonusher_agreement.change_check import REFERENCE_KEYS, find_reference
from persimmonusher_agreement.configuration_objects import (
    Accepted,
    Batch,
    Change,
    ConfigurationState,
    Conflict,
    Invalid,
    ObjectKey,
    ObjectKind,
    Record,
    StoredVerdict,
    Verdict,
)
from persimmonusher_agreement.configuration_store import MAX_TOMBSTONES, ConfigurationStore
from persimmonusher_agreement.registration import (
    apply_registration,
    decode_registration,
    encode_registration,
    supersedes,
)
from persimmonusher_agreement.routing_record import read_version
from persimmonusher_agreement.server_index import MAX_ENDED_SERVERS, ServerIndex
from persimmonusher_model.errors import ErrorCode, Finding
from persimmonusher_model.identifiers import Revision

MAX_VERDICTS: Final = 65_536
"""More than a day's changes at the target's 47,000 a day; operators resend within minutes. A change
resent after its verdict was dropped still ends in a conflict, because the object's revision is no
longer the one that the change was based on. Only a create whose object was retired meanwhile could
be accepted a second time."""

MAX_HISTORY_RECORDS: Final = 20
"""Earlier records kept for each object, for operators who ask what changed."""


class Configuration:
    """Objects, their histories, and the verdicts on recent change ids."""

    def __init__(
        self,
        lineage: str = "",
        verdicts_kept: int = MAX_VERDICTS,
        history_kept: int = MAX_HISTORY_RECORDS,
        tombstones_kept: int = MAX_TOMBSTONES,
        ended_kept: int = MAX_ENDED_SERVERS,
    ) -> None:
        self._verdicts_kept = verdicts_kept
        self._history_kept = history_kept
        self._tombstones_kept = tombstones_kept
        self._ended_kept = ended_kept
        self._clear(lineage)

    def _clear(self, lineage: str) -> None:
        self._store = ConfigurationStore(lineage, self._tombstones_kept)
        self._histories: dict[ObjectKey, deque[Record]] = {}
        self._verdicts: OrderedDict[str, StoredVerdict] = OrderedDict()
        self._referrers: dict[ObjectKey, set[ObjectKey]] = {}
        self._servers = ServerIndex(self._ended_kept)

    @property
    def revision(self) -> Revision:
        """Return the number of accepted changes."""
        return self._store.revision

    @property
    def store(self) -> ConfigurationStore:
        """Return the latest records; the caller must not change them."""
        return self._store

    def collect_since(self, since: Revision) -> Batch:
        """Collect what a replica at `since` lacks."""
        return self._store.collect_since(since)

    def list_history(self, key: ObjectKey) -> tuple[Record, ...]:
        """List the object's records that are still kept, oldest first."""
        latest = self._store.find(key)
        earlier = tuple(self._histories.get(key, ()))
        return earlier if latest is None else (*earlier, latest)

    def find_verdict(self, change: Change) -> Verdict | None:
        """Return the stored verdict on this change id, or None for a new change.

        A change id that was used for a different change is Invalid.
        """
        stored = self._verdicts.get(change.change_id)
        if stored is None:
            return None
        if stored.digest == change.digest():
            return stored.verdict
        message = f"{change.change_id!r} was used before for a different change"
        return Invalid((Finding(ErrorCode.BAD_REQUEST, "change_id", message),))

    def apply(self, change: Change) -> Verdict:
        """Apply a committed change and return its verdict; a resend gets the first verdict.

        The same change can be in the log twice: its client lost the answer and resent it to a new
        leader while the first copy was in transit. The verdict is stored by change id in the
        replicated state, so that every keeper answers alike, also after a snapshot.
        """
        handler = VERSIONED_HANDLERS.get(change.key.kind)
        if handler is not None:
            return handler(self, change)
        stored = self.find_verdict(change)
        if stored is not None:
            return stored
        verdict = self._decide(change)
        self._verdicts[change.change_id] = StoredVerdict(change.change_id, change.digest(), verdict)
        if len(self._verdicts) > self._verdicts_kept:
            self._verdicts.popitem(last=False)
        return verdict

    def _decide(self, change: Change) -> Verdict:
        latest = self._store.find(change.key)
        live = self._store.find_live(change.key)
        if change.based_on != (live.revision if live else 0):
            return self._refuse_base_revision(change, latest)
        findings = self._check_references(change, live)
        if findings:
            return Invalid(findings)
        revision = Revision(self._store.revision + 1)
        self._append_history(latest)
        self._update_referrers(change, live)
        record = Record(change.key, revision, change.body, change.change_id, change.operator)
        for forgotten in self._store.put(record):
            self._histories.pop(forgotten, None)
        return Accepted(revision)

    def _apply_document(self, change: Change) -> Verdict:
        """Store a document of a higher version; accept any other without effect.

        Operators number the versions themselves, and their documents can race, be resent and
        arrive out of order. So the version alone decides, and a document that came too late is
        accepted but doesn't replace the newer one.
        """
        live = self._store.find_live(change.key)
        if read_version(change.body) > read_version(live.body if live else None):
            self._put_versioned(change.key, change.body, change)
        return Accepted(self._store.revision)

    def _apply_server(self, change: Change) -> Verdict:
        """Apply a registration that is newer than the known one; any other has no effect."""
        if change.body is None:
            if self._store.find_live(change.key) is not None:
                self._put_versioned(change.key, None, change)
            return Accepted(self._store.revision)
        new = decode_registration(change.key.name, change.body)
        live = self._store.find_live(change.key)
        known = decode_registration(live.key.name, live.body) if live and live.body else None
        if supersedes(new, known):
            for server in apply_registration(new, self._servers.list_rivals(new)):
                self._put_versioned(server.key, encode_registration(server), change)
            for key in self._servers.list_expired():
                self._put_versioned(key, None, change)
        return Accepted(self._store.revision)

    def _put_versioned(self, key: ObjectKey, body: str | None, change: Change) -> None:
        revision = Revision(self._store.revision + 1)
        record = Record(key, revision, body, change.change_id, change.operator)
        if key.kind is ObjectKind.SERVER:
            self._servers.update(record)
        for forgotten in self._store.put(record):
            self._histories.pop(forgotten, None)

    def _refuse_base_revision(self, change: Change, latest: Record | None) -> Verdict:
        if latest is not None:
            return Conflict(latest)
        message = f"there is no {change.key.kind.value} named {change.key.name!r}"
        return Invalid((Finding(ErrorCode.NOT_FOUND, "name", message),))

    def _check_references(self, change: Change, live: Record | None) -> tuple[Finding, ...]:
        kind, name = change.key.kind.value, change.key.name
        if change.body is None and live is None:
            return (Finding(ErrorCode.NOT_FOUND, "name", f"there is no {kind} named {name!r}"),)
        referrers = self._referrers.get(change.key)
        if change.body is None and referrers:
            first = min(referrers, key=lambda referrer: referrer.name)
            message = f"{kind} {name!r} is used by {len(referrers)}, first {first.name!r}"
            return (Finding(ErrorCode.IN_USE, "name", message),)
        target = find_reference(change.key, change.body)
        if target is not None and self._store.find_live(target) is None:
            message = f"there is no {target.kind.value} named {target.name!r}"
            return (Finding(ErrorCode.NOT_FOUND, REFERENCE_KEYS[change.key.kind], message),)
        return ()

    def _append_history(self, latest: Record | None) -> None:
        if latest is None:
            return
        history = self._histories.setdefault(latest.key, deque(maxlen=self._history_kept))
        history.append(latest)

    def _update_referrers(self, change: Change, live: Record | None) -> None:
        if live is not None:
            self._remove_referrer(live)
        target = find_reference(change.key, change.body)
        if target is not None:
            self._referrers.setdefault(target, set()).add(change.key)

    def _remove_referrer(self, live: Record) -> None:
        target = find_reference(live.key, live.body)
        if target is None:
            return
        self._referrers[target].discard(live.key)
        if not self._referrers[target]:
            del self._referrers[target]

    def capture(self) -> ConfigurationState:
        """Capture all state for a snapshot."""
        earlier = [record for history in self._histories.values() for record in history]
        return ConfigurationState(
            self._store.lineage,
            self._store.revision,
            self._store.tombstone_floor,
            self._store.list_all(),
            tuple(sorted(earlier, key=lambda record: record.revision)),
            tuple(self._verdicts.values()),
        )

    def restore(self, state: ConfigurationState) -> None:
        """Replace all state by a snapshot's."""
        self._clear(state.lineage)
        for record in sorted(state.records, key=lambda record: record.revision):
            self._store.put(record)
            if record.key.kind is ObjectKind.SERVER:
                self._servers.update(record)
            target = find_reference(record.key, record.body)
            if target is not None:
                self._referrers.setdefault(target, set()).add(record.key)
        self._store.revision = state.revision
        self._store.tombstone_floor = state.tombstone_floor
        self._restore_histories(state.histories)
        for stored in state.verdicts:
            self._verdicts[stored.change_id] = stored

    def _restore_histories(self, records: Iterable[Record]) -> None:
        for record in records:
            self._append_history(record)


VERSIONED_HANDLERS: Final[dict[ObjectKind, Callable[[Configuration, Change], Verdict]]] = {
    ObjectKind.DOCUMENT: Configuration._apply_document,
    ObjectKind.SERVER: Configuration._apply_server,
}
"""Handlers of the kinds whose objects carry a version of their own. Applying such a change again
has no effect, so these kinds need no stored verdict and no base revision; no history of them is
kept."""
