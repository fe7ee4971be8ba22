"""Refusals that a faulty server repeats on a kept connection."""

import pytest
from troubledserver import SOUND_BODY, fetch, head, run_site

REFUSED = b"HTTP/1.1 503 X\r\nRequest-Not-Run: 1\r\nContent-Length: 0\r\n"


def keep_alive(request_id, body):
    length = b"content-length: %d" % len(body)
    return head(request_id, length) + body


def repeated_refusal(with_id):
    """Returns a script whose second answer comes behind a refusal of the first one."""
    seen = []

    def script(request_id):
        seen.append(request_id)
        if len(seen) == 1:
            yield keep_alive(request_id, b"first")
        else:
            field = b"Request-Id: " + seen[0] + b"\r\n" if with_id else b""
            yield REFUSED + field + b"\r\n"
            yield keep_alive(request_id, SOUND_BODY)

    return script


# Guards against the refusal of an earlier request that is passed on as this one's: the
# caller would be told that a request did not run which a server is running.
@pytest.mark.parametrize("with_id", [True, False])
async def test_refusal_of_an_earlier_request_refuses_no_other(with_id):
    async with run_site(
        repeated_refusal(with_id), with_sound=False, keep_open=True
    ) as site:
        first, _reset = await fetch(site, number=1)
        assert first.endswith(b"first")
        assert site.front.pool.idle["failed"]
        second, _reset = await fetch(site, number=2)
        assert site.front.pool.reused == 1
        status = second.split()[1]
        assert status in (b"200", b"502", b"504")
        assert b"request-outcome: not-run" not in second.lower()


async def test_refusal_without_an_id_counts_on_a_new_connection():
    def script(_request_id):
        yield REFUSED + b"\r\n"

    async with run_site(script) as site:
        data, _reset = await fetch(site)
        assert data.endswith(SOUND_BODY)
        async with run_site(script, with_sound=False) as alone:
            data, _reset = await fetch(alone)
            assert data.startswith(b"HTTP/1.1 503")
