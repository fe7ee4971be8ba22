"""Fingerprints of callers' requests: equal for the same request that comes again."""

from flamingolift_decisions.hashing import digest_request

__all__ = ["fingerprint_of"]

_CALLER_FIELDS = frozenset((b"authorization", b"cookie"))
"""Header fields that identify the caller. The others may change from one attempt to the
next, as the request's id does."""


def fingerprint_of(req):
    """Returns the fingerprint of a request (hexadecimal), which is kept with it.

    Args:
        req: CallerRequest.

    Notes:
        The same host, method, target, caller and body have the same fingerprint on
        every instance, also when the request was handed on.
    """
    if not req.fingerprint:
        caller = [
            value for name, value in req.headers if name.lower() in _CALLER_FIELDS
        ]
        req.fingerprint = digest_request(
            req.host.lower(),
            req.method.decode("latin-1"),
            req.target.decode("latin-1"),
            req.body,
            *caller,
        ).hex()
    return req.fingerprint
