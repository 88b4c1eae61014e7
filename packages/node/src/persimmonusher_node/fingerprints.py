"""Fingerprints of requests: equal for requests that ask for the same work."""

import xxhash

from persimmonusher_node.calls import Call


def compute_fingerprint(call: Call) -> str:
    """Hash method, host, target, key and body.

    All but the body are prefixed with their length, so that different parts can't hash alike.
    Of a body that is sent on as it arrives, only the kept bytes and the length are known.
    """
    hasher = xxhash.xxh3_128()
    for part in (call.method, call.host, call.target, call.key or ""):
        encoded = part.encode("utf-8", "surrogateescape")
        hasher.update(b"%d:" % len(encoded))
        hasher.update(encoded)
    hasher.update(call.body.kept)
    if call.body.rest is not None:
        hasher.update(b"|%d" % (call.body.length or 0))
    return hasher.hexdigest()
