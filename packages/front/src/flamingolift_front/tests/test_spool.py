"""Buffers for bodies."""

import mmap

import pytest
from flamingolift_front.spool import SMALL_BYTES, append_piece, make_spool, spooled_body


@pytest.mark.parametrize("expected", [10, SMALL_BYTES + 1, 10 * SMALL_BYTES])
@pytest.mark.parametrize("piece", [0, 1, 1000, SMALL_BYTES, 3 * SMALL_BYTES])
def test_body_is_the_sum_of_its_pieces(expected, piece):
    pieces = [bytes([number]) * piece for number in range(1, 6)]
    spool = make_spool(expected, pieces[0])
    for data in pieces[1:]:
        append_piece(spool, data)
    assert spooled_body(spool) == b"".join(pieces)
    assert spool.used == 5 * piece
    assert isinstance(spool.data, mmap.mmap) == (spool.used > SMALL_BYTES)


def test_body_may_go_on_from_its_first_part():
    first = make_spool(0, bytes(SMALL_BYTES + 5))
    spool = make_spool(4 * SMALL_BYTES, spooled_body(first))
    append_piece(spool, b"end")
    assert spooled_body(spool) == bytes(SMALL_BYTES + 5) + b"end"
