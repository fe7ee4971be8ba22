import os

import pytest
from flamingolift_front.state import ViewChange
from flamingolift_front.viewsync import apply_snapshot
from frontviews import make_front


@pytest.fixture
async def new_front():
    """Returns a function that builds a front whose view holds a list of ViewChange."""
    fronts = []

    def build(changes=(), revision=10):
        front = make_front()
        fronts.append(front)
        apply_snapshot(front, list(changes), revision)
        return front

    yield build
    for front in fronts:
        os.close(front.log.fd)


@pytest.fixture
def change():
    """Returns a function that builds a ViewChange."""
    return ViewChange
