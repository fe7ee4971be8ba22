"""The cases of `tools/bite.py` fit the code that they change."""

import pytest

from tools import bite


@pytest.mark.parametrize("name", bite.CASES)
def test_case_replaces_text_that_exists(name):
    changes, test = bite.CASES[name]
    for path, old, new in changes:
        assert old != new
        assert old in (bite.ROOT / path).read_text(encoding="utf-8")
    assert (bite.ROOT / test.partition("::")[0]).exists()
