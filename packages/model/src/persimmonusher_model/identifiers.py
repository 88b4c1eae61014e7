"""Identifiers, as distinct types, so that type checks find one kind used as another."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
"""One process of the system. Restarts keep it; with the incarnation it names a single run."""

ServerId = NewType("ServerId", str)
"""One backend server, by the name in its announcements."""

ServiceName = NewType("ServiceName", str)
ProfileName = NewType("ProfileName", str)
FailureDomain = NewType("FailureDomain", str)
CallerId = NewType("CallerId", str)
"""The caller's organisation; metrics and queue fairness distinguish callers by it."""

RequestId = NewType("RequestId", str)
Revision = NewType("Revision", int)
"""The number of accepted configuration changes; 0 is the empty configuration."""
