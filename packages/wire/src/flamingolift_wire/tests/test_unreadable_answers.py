"""Answers of the store that cannot be read are failed calls."""

import asyncio

import pytest
from expression import Ok
from flamingolift_model import ResultCode
from flamingolift_wire import storeclient

CALLS = {
    "get": lambda: storeclient.get_value(None, "k"),
    "put": lambda: storeclient.put_value(None, "k", b"", 1),
    "list": lambda: storeclient.list_values(None, "k"),
    "watch": lambda: storeclient.watch_prefix(None, "k", 1),
    "lease": lambda: storeclient.create_lease(None, 5.0),
}


# Guards against an answer that ends the task which reads the store.
@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize(
    "headers", [{}, {"Revision": "x"}, {"Revision": "9" * 5000}], ids=len
)
@pytest.mark.parametrize(
    "body",
    [b"\xff", b"x\n", b"1\nk 1", b"1\nk 1 x\n", b"1\nk\xff 1 2\nab", b"9" * 5000],
    ids=range(6),
)
def test_odd_answer_is_a_failed_call(monkeypatch, call, headers, body):
    async def answer(*_args, **_options):
        return Ok((200, headers, body))

    monkeypatch.setattr(storeclient, "_call", answer)
    done = asyncio.run(CALLS[call]())
    if done.is_error():
        assert done.error.code == ResultCode.STORE_UNAVAILABLE
    else:
        assert (call, body != b"\xff") == ("lease", True)
