"""Routes by host and path prefix; looked up once for each request."""

from typing import Final

from persimmonusher_model.identifiers import ServiceName

ANY_HOST: Final = "*"


class HostRoutes:
    """The path prefixes of one host."""

    def __init__(self) -> None:
        self._services: dict[str, ServiceName] = {}
        self._depth = 0

    def put(self, prefix: str, service: ServiceName) -> None:
        """Add or replace a prefix."""
        self._services[prefix] = service
        self._depth = max(self._depth, prefix.count("/"))

    def remove(self, prefix: str) -> bool:
        """Remove a prefix; return whether none is left."""
        self._services.pop(prefix, None)
        return not self._services

    def find(self, path: str) -> ServiceName | None:
        """Return the service of the longest prefix that ends at a segment boundary of the path.

        The path is cut to the depth of the deepest prefix first, so that a path with thousands
        of slashes costs no more than a short one.
        """
        prefix = "/".join(path.split("/", self._depth + 1)[: self._depth + 1])
        while prefix:
            service = self._services.get(prefix)
            if service is not None:
                return service
            prefix = prefix.rpartition("/")[0]
        return self._services.get("")


class RouteTable:
    """All routes; a host's own routes take precedence over those for any host."""

    def __init__(self) -> None:
        self._hosts: dict[str, HostRoutes] = {}

    def put(self, name: str, service: ServiceName) -> None:
        """Add or replace the route of a name such as `shop.example/entries` or `*/`."""
        host, prefix = _split(name)
        self._hosts.setdefault(host, HostRoutes()).put(prefix, service)

    def remove(self, name: str) -> None:
        """Remove a route."""
        host, prefix = _split(name)
        routes = self._hosts.get(host)
        if routes is not None and routes.remove(prefix):
            del self._hosts[host]

    def find(self, host: str, path: str) -> ServiceName | None:
        """Return the service of the longest route that matches; `host` may carry a port."""
        name = host.partition(":")[0].lower()
        routes = self._hosts.get(name)
        service = routes.find(path) if routes is not None else None
        if service is not None:
            return service
        any_host_routes = self._hosts.get(ANY_HOST)
        return any_host_routes.find(path) if any_host_routes is not None else None


def _split(name: str) -> tuple[str, str]:
    host, _, rest = name.partition("/")
    return host, f"/{rest}".rstrip("/")
