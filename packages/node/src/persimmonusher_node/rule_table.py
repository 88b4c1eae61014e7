"""The route rules of a routing document; looked up once for each request."""

from collections.abc import Iterable

from persimmonusher_model.routing import RouteRule


class HostRules:
    """The rules of one host by path prefix."""

    def __init__(self) -> None:
        self._rules: dict[str, RouteRule] = {}
        self._lengths: list[int] = []

    def add(self, rule: RouteRule) -> None:
        """Add a rule; it replaces an earlier one for the same prefix."""
        self._rules[rule.prefix] = rule
        if len(rule.prefix) not in self._lengths:
            self._lengths = sorted([*self._lengths, len(rule.prefix)], reverse=True)

    def find(self, path: str) -> RouteRule | None:
        """Return the rule of the longest prefix of the path.

        Prefixes have few different lengths, so one look-up per length costs less than one per
        prefix.
        """
        for length in self._lengths:
            rule = self._rules.get(path[:length])
            if rule is not None:
                return rule
        return None


class RuleTable:
    """All rules by host; each document gets a new table."""

    def __init__(self, rules: Iterable[RouteRule] = ()) -> None:
        self._hosts: dict[str, HostRules] = {}
        for rule in rules:
            self._hosts.setdefault(rule.host.lower(), HostRules()).add(rule)

    def find(self, host: str, path: str) -> RouteRule | None:
        """Return the rule for a request; `host` may carry a port."""
        rules = self._hosts.get(host.partition(":")[0].lower())
        return None if rules is None else rules.find(path)
