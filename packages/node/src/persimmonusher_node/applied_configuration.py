"""The committed records of one instance, indexed for look-ups on the hot path."""

import json
from collections.abc import Iterable, Sequence

import structlog

from persimmonusher_agreement.change_check import find_reference
from persimmonusher_agreement.configuration_objects import Batch, ObjectKey, ObjectKind
from persimmonusher_agreement.configuration_store import ConfigurationStore
from persimmonusher_model.errors import UsherError
from persimmonusher_model.identifiers import ProfileName, ServiceName
from persimmonusher_model.profile import Profile, parse_profile
from persimmonusher_node.applied_document import AppliedDocument
from persimmonusher_node.registered_servers import RegisteredServers
from persimmonusher_node.route_table import RouteTable

logger = structlog.get_logger(__name__)


class AppliedConfiguration:
    """The records, with the routes and parsed profiles derived from them."""

    def __init__(self, document: AppliedDocument | None = None) -> None:
        self.store = ConfigurationStore()
        self.document = document
        self.servers = RegisteredServers()
        self.routes = RouteTable()
        self._profiles: dict[ProfileName, Profile] = {}
        self._profile_names: dict[ServiceName, ProfileName] = {}

    def find_profile(self, service: ServiceName) -> Profile | None:
        """Return the profile that the service runs under, or None for an unknown service."""
        name = self._profile_names.get(service)
        if name is not None:
            return self._profiles.get(name)
        return None if self.document is None else self.document.find_profile(service)

    def find_profile_name(self, service: ServiceName) -> ProfileName | None:
        """Return the name of the profile that the service runs under."""
        return self._profile_names.get(service)

    def take(self, batch: Batch) -> Sequence[ObjectKey]:
        """Apply a batch and return the objects that it touched."""
        if batch.lineage and self.store.lineage not in ("", batch.lineage):
            logger.error(
                "configuration-of-another-fleet",
                kept=self.store.lineage,
                refused=batch.lineage,
                refused_revision=batch.revision,
            )
        touched = self.store.apply_batch(batch)
        self._derive(touched)
        return touched

    def _derive(self, keys: Iterable[ObjectKey]) -> None:
        for key in keys:
            if key.kind is ObjectKind.PROFILE:
                self._derive_profile(key)
            elif key.kind is ObjectKind.SERVICE:
                self._derive_service(key)
            elif key.kind is ObjectKind.ROUTE:
                self._derive_route(key)
            elif key.kind is ObjectKind.DOCUMENT:
                self._derive_document(key)
            elif key.kind is ObjectKind.SERVER:
                self.servers.take(key.name, self.store.find_live(key))

    def _derive_document(self, key: ObjectKey) -> None:
        record = self.store.find_live(key)
        if self.document is not None and record is not None:
            self.document.take(record)

    def _derive_profile(self, key: ObjectKey) -> None:
        """Parse a profile, or keep the previous one if this instance can't parse it.

        Guards against a failure during a rolling upgrade: a profile that a newer keeper accepted
        may hold a field that this instance doesn't know yet. The service must not lose its profile
        because of that.
        """
        name = ProfileName(key.name)
        record = self.store.find_live(key)
        if record is None or record.body is None:
            self._profiles.pop(name, None)
            return
        try:
            self._profiles[name] = parse_profile(json.loads(record.body))
        except (UsherError, ValueError) as error:
            logger.error("unreadable-profile", profile=name, error=str(error))

    def _derive_service(self, key: ObjectKey) -> None:
        record = self.store.find_live(key)
        target = None if record is None else find_reference(key, record.body)
        if target is None:
            self._profile_names.pop(ServiceName(key.name), None)
        else:
            self._profile_names[ServiceName(key.name)] = ProfileName(target.name)

    def _derive_route(self, key: ObjectKey) -> None:
        record = self.store.find_live(key)
        target = None if record is None else find_reference(key, record.body)
        if target is None:
            self.routes.remove(key.name)
        else:
            self.routes.put(key.name, ServiceName(target.name))
