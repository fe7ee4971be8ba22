"""Hashing of keys to names, the same in every process and without state."""

import hashlib
import math

import xxhash

__all__ = [
    "digest_request",
    "rendezvous_order",
    "unit_hash",
    "weighted_choice",
    "weighted_order",
]

_HASH_SPAN = 2.0**64


def unit_hash(*parts):
    """Hashes strings to a number in the open interval (0, 1).

    Args:
        *parts: Strings; their order matters.

    Returns:
        A float that is the same on every machine and in every process.

    Examples:
        >>> 0.0 < unit_hash("timetable", "10.1.2.0/24") < 1.0
        True
    """
    digest = xxhash.xxh3_64_intdigest("\x00".join(parts).encode())
    return (digest + 0.5) / _HASH_SPAN


def digest_request(service, method, target, body, *fields):
    """Digests a request, to tell a retry of it from another request under the same key.

    Args:
        service: Service name.
        method: HTTP method.
        target: Path and query.
        body: Body, or other data that identifies the request (bytes).
        *fields: Further values that identify the request (bytes), such as the caller's
            credentials.

    Returns:
        Cryptographic digest of 16 bytes: no other request with the same digest can
        feasibly be made.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (service.encode(), method.encode(), target.encode(), body, *fields):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def rendezvous_order(key, names):
    """Orders names for a key by rendezvous hashing.

    Args:
        key: String to map to a name.
        names: Iterable of distinct strings.

    Returns:
        List of the names, the preferred one first. Removing a name leaves the
        order of the others unchanged.

    Notes:
        Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
        Rates", IEEE/ACM Transactions on Networking 6(1), 1998.
    """
    return sorted(names, key=lambda name: (-unit_hash(key, name), name))


def _arrival_time(key, name, weight):
    return -math.log(unit_hash(key, name)) / weight


def weighted_choice(key, weights):
    """Picks a name with a probability proportional to its weight.

    Args:
        key: String to map to a name.
        weights: Map of name to a weight of at least zero.

    Returns:
        The name, or None when no weight is positive.

    Notes:
        Each name has an exponential arrival time with its weight as the rate
        and the first arrival wins, so that a small change of weights moves few
        keys; `shifts.moved_fraction` computes how many. Schindelhauer and Schomaker,
        "Weighted Distributed Hash Tables", SPAA 2005 (logarithmic method).
    """
    best_name, best_time = None, math.inf
    for name, weight in weights.items():
        if weight <= 0.0:
            continue
        time = _arrival_time(key, name, weight)
        if time < best_time:
            best_name, best_time = name, time
    return best_name


def weighted_order(key, weights):
    """Orders the names of positive weight by preference for a key.

    Args:
        key: String to map to a name.
        weights: Map of name to a weight of at least zero.

    Returns:
        List of names; the first one is `weighted_choice(key, weights)`.
    """
    positive = [name for name, weight in weights.items() if weight > 0.0]
    return sorted(positive, key=lambda name: _arrival_time(key, name, weights[name]))
