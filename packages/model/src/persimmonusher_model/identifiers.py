"""Identifiers, as distinct types so that one kind can't stand in for another."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
"""One process of the system, unique over restarts only together with its incarnation."""

ServerId = NewType("ServerId", str)
"""One backend server, as it names itself in its announcements."""

ServiceName = NewType("ServiceName", str)
ProfileName = NewType("ProfileName", str)
FailureDomain = NewType("FailureDomain", str)
CallerId = NewType("CallerId", str)
"""The caller's organisation, from its request header; the tenant of metrics and fairness."""

RequestId = NewType("RequestId", str)
Revision = NewType("Revision", int)
"""The number of accepted configuration changes; 0 is the empty configuration."""
