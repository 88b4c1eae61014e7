"""Fingerprints: equal for requests that are the same work."""

import xxhash

from persimmonusher_node.calls import Call


def compute_fingerprint(call: Call) -> str:
    """Hash method, target, key and body; the parts are length-prefixed so none runs over."""
    hasher = xxhash.xxh3_128()
    for part in (call.method, call.host, call.target, call.key or ""):
        encoded = part.encode("utf-8", "surrogateescape")
        hasher.update(b"%d:" % len(encoded))
        hasher.update(encoded)
    hasher.update(call.body)
    return hasher.hexdigest()
