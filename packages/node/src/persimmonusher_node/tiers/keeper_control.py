"""A keeper's handling of the calls of backend servers and operators."""

from dataclasses import replace
from secrets import token_hex
from typing import Final

import structlog

from persimmonusher_agreement.configuration_objects import (
    Accepted,
    Change,
    Invalid,
    ObjectKey,
    ObjectKind,
)
from persimmonusher_agreement.registration import (
    RegisteredState,
    Registration,
    decode_registration,
    encode_registration,
    supersedes,
)
from persimmonusher_agreement.routing_record import (
    DOCUMENT_KEY,
    pack_document,
    read_version,
    unpack_document,
)
from persimmonusher_model.errors import ErrorCode, Finding, UsherError
from persimmonusher_model.identifiers import Revision, ServiceName
from persimmonusher_model.json_size import estimate_parsed_bytes
from persimmonusher_model.rendezvous import rank
from persimmonusher_model.routing import DocumentCodec
from persimmonusher_node.configuration_client import ConfigurationClient
from persimmonusher_node.keeper import KeeperRole
from persimmonusher_node.loop import run_coroutine
from persimmonusher_node.settings import Settings
from persimmonusher_node.tiers.edge import ControlPort, RegistrationReply
from persimmonusher_node.tiers.leader import LeaderCalls

logger = structlog.get_logger(__name__)

REGISTER_TIMEOUT_SECONDS: Final = 0.8
"""Servers consider a heartbeat lost after a second, and then try another keeper."""
DOCUMENT_TIMEOUT_SECONDS: Final = 2.0
"""An operator tries another keeper after a second or more, and sends the same document again:
waiting for as long as two elections costs nothing, but an answer that is abandoned here would."""
READ_TIMEOUT_SECONDS: Final = 0.8
"""An operator that reads tries another keeper after a second."""


class KeeperControl(ControlPort):
    """Registrations and the routing document, stored in the keepers' log."""

    def __init__(
        self,
        settings: Settings,
        role: KeeperRole,
        view: ConfigurationClient,
        leader: LeaderCalls,
        codec: DocumentCodec,
    ) -> None:
        self._settings = settings
        self._role = role
        self._view = view
        self._leader = leader
        self._codec = codec

    def register(self, registration: Registration) -> RegistrationReply:
        """Accept a server's registration; only a change goes through the log.

        Guards against a registration from elsewhere that names a service without a route: it could
        take over the address of a working server. If the service is added later, the server's next
        heartbeat is accepted. The same holds for one without a boot where servers announce theirs.
        """
        if not registration.boot and self._view.servers.announces_boots:
            finding = Finding(ErrorCode.MISSING_KEY, "boot", "is missing")
            message = f"{registration.server_id}: the registration was refused"
            raise UsherError(finding.code, message, [finding])
        if not self._view.may_exist(ServiceName(registration.service)):
            message = f"{registration.server_id}: there is no service {registration.service!r}"
            raise UsherError(ErrorCode.NOT_FOUND, message)
        known = self._find(registration.server_id)
        is_same_boot = known is not None and known.boot == registration.boot
        if is_same_boot and known is not None and known.describes_same(registration):
            return self._make_registration_reply(registration)
        if supersedes(registration, known):
            self._propose_server(registration)
        return self._make_registration_reply(registration)

    def deregister(self, server_id: str, boot: int | None) -> None:
        """Record that a server has ended.

        Guards against a late message of an earlier start: if it names a boot, only that boot is
        ended. A server that is unknown here may be known to other keepers, however fresh this
        keeper is. So its end is acknowledged only once nothing accepted before can be missing here.
        """
        known = self._find(server_id)
        if known is None:
            self._confirm_view(REGISTER_TIMEOUT_SECONDS)
            known = self._find(server_id)
        if known is None:
            return
        if boot is not None and boot != known.boot:
            return
        ended = replace(known, state=RegisteredState.STOPPED, sequence=known.sequence + 1)
        if known.state is not RegisteredState.STOPPED:
            self._propose_server(ended)

    def replace_document(self, content: bytes) -> None:
        """Check a document of any version, and put it in force unless one as high already is."""
        needed = estimate_parsed_bytes(content)
        allowed = self._settings.limits.document_memory_bytes
        if needed > allowed:
            message = f"the document would take {needed} bytes of memory, {allowed} are allowed"
            raise UsherError(ErrorCode.TOO_LARGE, message)
        version = self._codec.parse(content).version
        live = self._view.find_record(DOCUMENT_KEY)
        if live is not None and read_version(live.body) >= version:
            logger.info("document-overtaken", version=version, in_force=read_version(live.body))
            return
        self._propose(DOCUMENT_KEY, pack_document(version, content), DOCUMENT_TIMEOUT_SECONDS)
        logger.info("document-accepted", version=version)

    def read_document(self) -> bytes | None:
        """Return the document in force, once a majority confirmed that none is newer."""
        self._confirm_view(READ_TIMEOUT_SECONDS)
        live = self._view.find_record(DOCUMENT_KEY)
        return None if live is None or live.body is None else unpack_document(live.body).content

    def _find(self, server_id: str) -> Registration | None:
        record = self._view.find_record(ObjectKey(ObjectKind.SERVER, server_id))
        if record is None or record.body is None:
            return None
        return decode_registration(server_id, record.body)

    def _propose_server(self, server: Registration) -> None:
        self._propose(server.key, encode_registration(server), REGISTER_TIMEOUT_SECONDS)
        logger.info(
            "server-registered",
            server=server.server_id,
            service=server.service,
            state=server.state.value,
            boot=server.boot,
            sequence=server.sequence,
        )

    def _propose(self, key: ObjectKey, body: str, timeout: float) -> None:
        change = Change(token_hex(8), self._settings.instance_id, key, Revision(0), body)
        verdict = run_coroutine(self._leader.propose(change, timeout))
        if isinstance(verdict, Invalid):
            raise UsherError(ErrorCode.BAD_VALUE, f"{key.name!r} was refused", verdict.findings)
        assert isinstance(verdict, Accepted)

    def _confirm_view(self, timeout: float) -> None:
        """Return once a majority has confirmed that nothing accepted before is missing here."""
        revision = run_coroutine(self._leader.confirm(timeout))
        if self._view.revision() < revision:
            message = f"revision {revision} has not arrived here, only {self._view.revision()}"
            raise UsherError(ErrorCode.UNAVAILABLE, message)

    def _make_registration_reply(self, registration: Registration) -> RegistrationReply:
        """Name a keeper in the server's failure domain, so that heartbeats don't cross domains."""
        domain = registration.failure_domain
        if domain == self._settings.failure_domain:
            return RegistrationReply(None)
        members = self._role.keeper.replica.log.members.members
        near = [member.address for member in members if member.failure_domain == domain]
        if not near:
            return RegistrationReply(None)
        port = self._settings.listen.control.rpartition(":")[2]
        chosen = rank(near, registration.server_id)[0]
        return RegistrationReply(f"{chosen.rpartition(':')[0]}:{port}")
