"""The state that this instance reports to operators, read from the data plane's parts."""

from collections.abc import Iterable, Iterator

from persimmonusher_agreement.configuration_objects import ObjectKind
from persimmonusher_decisions.server import ServerState
from persimmonusher_decisions.traffic import ServerStatus
from persimmonusher_model.clock import Clock
from persimmonusher_model.identifiers import RequestId, Revision, ServiceName
from persimmonusher_node.configuration_client import ConfigurationClient
from persimmonusher_node.operators_reports import InstanceState
from persimmonusher_node.ports import ServerDirectory
from persimmonusher_node.records import RecordRing, RequestRecord
from persimmonusher_node.services import ServiceBook


class DataPlaneState(InstanceState):
    """Reads the service book, the directory and the records of recent requests."""

    def __init__(
        self,
        configuration: ConfigurationClient,
        services: ServiceBook,
        directory: ServerDirectory,
        records: RecordRing,
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._services = services
        self._directory = directory
        self._records = records
        self._clock = clock

    def revision(self) -> Revision:
        """Return the revision in force here."""
        return self._configuration.revision()

    def list_statuses(self, service: ServiceName | None) -> Iterable[ServerStatus]:
        """List servers with the decisions about them.

        For a service without requests here there are no decisions; its servers are listed by their
        announced state.
        """
        live = {item.name: item for item in self._services}
        names = self._list_services() if service is None else [service]
        for name in names:
            if name in live:
                yield from live[name].traffic.describe(self._clock.monotonic())
            else:
                yield from self._list_unused(name)

    def explain(self, request_id: RequestId) -> RequestRecord | None:
        """Return the record of the decisions on a recent request, or None."""
        return self._records.explain(request_id)

    def _list_services(self) -> list[ServiceName]:
        records = self._configuration.list_records(ObjectKind.SERVICE)
        return [ServiceName(record.key.name) for record in records]

    def _list_unused(self, service: ServiceName) -> Iterator[ServerStatus]:
        for server in self._directory.list_servers(service):
            ready = server.state is ServerState.READY
            yield ServerStatus(server, ready, server.state.value, 0)
