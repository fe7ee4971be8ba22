"""Hooks of all tests."""

import gc

import pytest


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):
    """Collects garbage before the report of a failure, which parses the test's source.

    A connection that is collected while `ast` parses raises in `__del__` when its
    event loop is closed, and CPython 3.11 then ends the parse with a SystemError.
    """
    if call.excinfo is not None:
        gc.collect()
    return (yield)


@pytest.hookimpl(tryfirst=True)
def pytest_sessionfinish(session, exitstatus):
    """Collects garbage before plugins import, and so parse, further modules."""
    gc.collect()
