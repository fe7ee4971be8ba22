import os

import pytest
from flamingolift_front.eventlog import EventLog
from flamingolift_front.frontmetrics import FrontMetrics
from flamingolift_front.state import Front, ViewChange
from flamingolift_front.viewsync import apply_snapshot
from flamingolift_model.frontsettings import FrontSettings, HeaderNames


@pytest.fixture
async def new_front():
    """Returns a function that builds a front whose view holds a list of ViewChange."""
    opened = []

    def build(changes=(), revision=10):
        reader, writer = os.pipe()
        opened.extend((reader, writer))
        cfg = FrontSettings(
            instance_id="front-0",
            region="upland",
            failure_domain="d0",
            host="127.0.0.1",
            caller_port=1,
            ready_port=2,
            lookup_port=3,
            peer_port=4,
            domain_regions={},
        )
        log = EventLog(writer, "front-0")
        front = Front(cfg, HeaderNames(), None, log, FrontMetrics())
        apply_snapshot(front, list(changes), revision)
        return front

    yield build
    for fd in opened:
        os.close(fd)


@pytest.fixture
def change():
    """Returns a function that builds a ViewChange."""
    return ViewChange
