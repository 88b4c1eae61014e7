"""State machines without I/O for agreement between instances.

The replicated log of changes, membership of the fleet, the directory of servers, and claims.
"""
