"""Responses that end before their head is whole."""

import pytest
from troubledserver import CLOSE, RESET, SOUND_BODY, fetch, head, run_site

BODY = b"x" * 100


def whole(request_id, body=BODY):
    return head(request_id, b"content-length: %d" % len(body)) + body


HEAD_BYTES = len(head(b"q1", b"content-length: 100"))
CUTS = [1, 8, 12, 15, 17, 30, HEAD_BYTES - 4, HEAD_BYTES - 2, HEAD_BYTES - 1]


def cut_at(size, end):
    def script(request_id):
        yield whole(request_id)[:size]
        yield from end

    return script


# Guards against an answer whose head was cut and that callers get as a whole one with
# an empty or short body.
@pytest.mark.parametrize("size", CUTS)
@pytest.mark.parametrize("end", [[RESET], [CLOSE]], ids=["reset", "close"])
async def test_short_head_is_no_answer(size, end):
    async with run_site(cut_at(size, end), with_sound=False) as site:
        data, _reset = await fetch(site)
        assert data.split()[1] in (b"502", b"504")


@pytest.mark.parametrize("size", CUTS)
async def test_request_with_a_short_head_is_sent_again(size):
    async with run_site(cut_at(size, [CLOSE])) as site:
        data, _reset = await fetch(site)
        assert data.startswith(b"HTTP/1.1 200") and data.endswith(SOUND_BODY)


@pytest.mark.parametrize("size", CUTS)
async def test_short_head_on_a_kept_connection_is_no_answer(size):
    answered = []

    def script(request_id):
        answered.append(request_id)
        if len(answered) == 1:
            yield whole(request_id)
        else:
            yield whole(request_id)[:size]
            yield CLOSE

    async with run_site(script, with_sound=False, keep_open=True) as site:
        assert (await fetch(site))[0].endswith(BODY)
        data, _reset = await fetch(site, number=2)
        assert site.front.pool.reused >= 1
        assert data.split()[1] in (b"502", b"504")


# Guards against the next answer's short head that ends a streamed body.
async def test_short_head_of_a_large_response_is_no_answer():
    def script(request_id):
        yield head(request_id, b"content-length: 9000000")[:-2]
        yield CLOSE

    async with run_site(script, with_sound=False) as site:
        data, _reset = await fetch(site)
        assert data.split()[1] in (b"502", b"504")
