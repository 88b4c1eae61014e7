"""The routing document in force at one instance, indexed for look-ups on the hot path."""

from collections.abc import Callable

import structlog

from persimmonusher_agreement.configuration_objects import Record
from persimmonusher_agreement.routing_record import unpack_document
from persimmonusher_model.errors import UsherError
from persimmonusher_model.identifiers import ServiceName
from persimmonusher_model.organisations import OrganisationBook
from persimmonusher_model.profile import Profile
from persimmonusher_model.routing import CallerLimits, DocumentCodec, RouteRule, RoutingDocument
from persimmonusher_node.rule_table import RuleTable

logger = structlog.get_logger(__name__)


def ignore_caller_limits(limits: CallerLimits) -> None:
    """Do nothing; the default until a listener sets its own callback."""


class AppliedDocument:
    """The document's rules, and profiles for its services that have none of their own."""

    def __init__(
        self,
        codec: DocumentCodec,
        default_profile: Profile,
        large_body_profile: Profile | None = None,
    ) -> None:
        """Take the profile of all services, and the one while a route has large bodies."""
        self._codec = codec
        self._default = default_profile
        self._large_body_default = large_body_profile or default_profile
        self._rules = RuleTable()
        self._profiles: dict[ServiceName, Profile] = {}
        self.document: RoutingDocument | None = None
        self.organisations: OrganisationBook | None = None
        """None where requests carry no API keys."""
        self.on_limits_changed: Callable[[CallerLimits], None] = ignore_caller_limits
        """Called with the limits on callers' requests each time that a document comes into
        force."""

    def apply_document(self, record: Record) -> None:
        """Put a committed document in force, or keep the previous one if it can't be parsed here.

        Guards against a failure during a rolling upgrade: a keeper of a newer version may have
        accepted a document that this version can't read. Callers must not lose all routes because
        of that.
        """
        assert record.body is not None
        stored = unpack_document(record.body)
        try:
            document = self._codec.parse(stored.content)
        except UsherError as error:
            logger.error("unreadable-document", version=stored.version, error=str(error))
            return
        self.document = document
        self._rules = RuleTable(document.rules)
        self._profiles = self._make_profiles(document)
        known = document.organisations
        self.organisations = None if known is None else OrganisationBook(known)
        self.on_limits_changed(document.limits)
        logger.info("document-in-force", version=document.version, revision=record.revision)

    def find_rule(self, host: str, path: str) -> RouteRule | None:
        """Return the longest route that matches, or None."""
        return self._rules.find(host, path)

    def find_profile(self, service: ServiceName) -> Profile | None:
        """Return the profile of one of the document's services, or None for any other."""
        return self._profiles.get(service)

    def may_exist(self, service: ServiceName) -> bool:
        """Return whether the service may be in use; before the first document, any service may."""
        return self.document is None or service in self._profiles

    def _make_profiles(self, document: RoutingDocument) -> dict[ServiceName, Profile]:
        """Make a profile for each service; an unchanged profile stays the same object."""
        made = {}
        default = self._large_body_default if document.has_large_bodies else self._default
        for entry in document.services:
            profile = default.model_copy(
                update={
                    "max_body_bytes": document.limits.body_bytes,
                    "connections_per_server": entry.connection_limit,
                }
            )
            previous = self._profiles.get(entry.name)
            made[entry.name] = previous if previous == profile else profile
        return made
