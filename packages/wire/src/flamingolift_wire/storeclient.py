"""Client of the platform's key-value store and live list."""

import aiohttp
from expression import Error, Ok, Result
from flamingolift_model import Fault, ResultCode

from flamingolift_wire.bodies import read_body

__all__ = [
    "StoreClient",
    "StoredValue",
    "create_lease",
    "get_value",
    "list_values",
    "put_value",
    "renew_lease",
    "watch_live_list",
    "watch_prefix",
]

WATCH_WAIT_S = 25.0
"""Time for which the store holds one watch call open (s)."""

MAX_RESPONSE_BYTES = 16 << 20
"""Size limit of a response (bytes): a listing of the loads that 2,400 instances write,
or several versions of a value of 1 MB."""


class StoredValue:
    """A key of the store with its value.

    Attributes:
        key: Key.
        revision: Revision of the last write; 0 for a missing key.
        body: Value (bytes); None for a missing key.
    """

    __slots__ = ("body", "key", "revision")

    def __init__(self, key, revision, body):
        self.key = key
        self.revision = revision
        self.body = body


class StoreClient:
    """Connection pool of the store's HTTP API.

    Attributes:
        url: Base URL.
        timeout_s: Timeout of one call (s).
        session: aiohttp session.
        calls: Number of calls made.
    """

    __slots__ = ("calls", "session", "timeout_s", "url")

    def __init__(self, url, timeout_s):
        self.url = url.rstrip("/")
        self.timeout_s = timeout_s
        self.session = aiohttp.ClientSession()
        self.calls = 0


def _unavailable(exc):
    return Error(Fault(ResultCode.STORE_UNAVAILABLE, f"{type(exc).__name__}: {exc}"))


def _parsed(parse) -> Result:
    """Returns Ok with the result of a parser, or Error for an answer it cannot read."""
    try:
        return Ok(parse())
    except (KeyError, ValueError) as exc:
        return _unavailable(exc)


async def _call(store, method, path, *, wait_s=0.0, **options) -> Result:
    """Makes one call.

    `wait_s` is the time for which the store may hold the call open (s); it is added
    to the timeout. Ok holds (status, headers, body).
    """
    store.calls += 1
    timeout = aiohttp.ClientTimeout(total=store.timeout_s + wait_s)
    try:
        async with store.session.request(
            method, store.url + path, timeout=timeout, **options
        ) as resp:
            body = await read_body(resp, MAX_RESPONSE_BYTES)
            if resp.status >= 500:
                detail = f"status {resp.status}"
                return Error(Fault(ResultCode.STORE_UNAVAILABLE, detail))
            return Ok((resp.status, resp.headers, body))
    except (TimeoutError, aiohttp.ClientError, OSError) as exc:
        return _unavailable(exc)


async def get_value(store, key) -> Result:
    """Reads one key.

    Args:
        store: StoreClient.
        key: Key.

    Returns:
        Ok with a StoredValue, of revision 0 for a missing key; Error with
        STORE_UNAVAILABLE.
    """
    done = await _call(store, "GET", f"/kv/{key}")
    if done.is_error():
        return done
    status, headers, body = done.ok
    if status == 404:
        return Ok(StoredValue(key, 0, None))
    return _parsed(lambda: StoredValue(key, int(headers["Revision"]), body))


async def put_value(store, key, body, revision, lease_id=None) -> Result:
    """Writes one key by compare-and-swap.

    Args:
        store: StoreClient.
        key: Key.
        body: New value (bytes).
        revision: Revision that must be current; 0 for a missing key, None to
            write unconditionally.
        lease_id: Lease with which the key expires, or None.

    Returns:
        Ok with the new revision, Error with STORE_CONFLICT when the current
        revision is another one, or Error with STORE_UNAVAILABLE: then the write may
        have taken effect, and the caller has to read it back.
    """
    headers = {}
    if revision is not None:
        headers["If-Revision"] = str(revision)
    if lease_id is not None:
        headers["Lease"] = lease_id
    done = await _call(store, "PUT", f"/kv/{key}", data=body, headers=headers)
    if done.is_error():
        return done
    status, headers, _ = done.ok
    if status != 200:
        return Error(Fault(ResultCode.STORE_CONFLICT, f"{key}: status {status}"))
    return _parsed(lambda: int(headers["Revision"]))


async def list_values(store, prefix) -> Result:
    """Reads all keys with a prefix; Ok holds a list of StoredValue."""
    done = await _call(store, "GET", "/list", params={"prefix": prefix})
    return done.bind(lambda parts: _parsed(lambda: _parse_values(parts[2])[1]))


async def watch_prefix(store, prefix, after) -> Result:
    """Waits for writes to keys with a prefix.

    Args:
        store: StoreClient.
        prefix: Prefix of the keys.
        after: Revision after which writes are wanted.

    Returns:
        Ok with (revision, list of StoredValue); the list is empty when nothing
        was written before the call ended.
    """
    params = {"prefix": prefix, "after": str(after), "wait": str(WATCH_WAIT_S)}
    done = await _call(store, "GET", "/watch", wait_s=WATCH_WAIT_S, params=params)
    return done.bind(lambda parts: _parsed(lambda: _parse_values(parts[2])))


def _parse_values(body):
    """Parses a listing of values.

    The body starts with a line that holds the revision of the store. Each value
    follows as a line of key, revision and length, and then its bytes.

    Returns:
        Tuple of the revision and the list of StoredValue.
    """
    head, _, rest = body.partition(b"\n")
    values = []
    while rest:
        line, _, rest = rest.partition(b"\n")
        key, revision, length = line.decode().split(" ")
        values.append(StoredValue(key, int(revision), rest[: int(length)]))
        rest = rest[int(length) :]
    return int(head), values


async def watch_live_list(store, after, wait_s=WATCH_WAIT_S) -> Result:
    """Waits for a live list newer than a number.

    Ok holds its msgpack form (bytes), or None when there is no newer one.
    """
    params = {"after": str(after), "wait": str(wait_s)}
    done = await _call(store, "GET", "/live", wait_s=wait_s, params=params)
    return done.map(lambda parts: parts[2] if parts[0] == 200 else None)


async def create_lease(store, ttl_s) -> Result:
    """Creates a lease; Ok holds its id."""
    done = await _call(store, "POST", "/leases", params={"ttl_s": str(ttl_s)})
    return done.bind(lambda parts: _parsed(parts[2].decode))


async def renew_lease(store, lease_id) -> Result:
    """Renews a lease; Ok holds whether it still existed."""
    done = await _call(store, "PUT", f"/leases/{lease_id}")
    return done.map(lambda parts: parts[0] == 200)
