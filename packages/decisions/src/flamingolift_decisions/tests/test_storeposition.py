import pytest
from flamingolift_decisions.storeposition import (
    MAX_ERA,
    era_of,
    make_position,
    revision_of,
)
from hypothesis import given
from hypothesis import strategies as st

eras = st.integers(0, MAX_ERA)
revisions = st.integers(0, 10**12 - 1)


@given(eras, revisions)
def test_position_holds_era_and_revision(era, revision):
    position = make_position(era, revision)
    assert (era_of(position), revision_of(position)) == (era, revision)
    assert position < 2**63


# Guards against a revision that is given out again and counts as known.
@given(eras, revisions, eras, revisions)
def test_later_era_is_newer_whatever_its_revision(era, revision, other, other_revision):
    first, second = make_position(era, revision), make_position(other, other_revision)
    assert (first < second) == ((era, revision) < (other, other_revision))


@pytest.mark.parametrize(("era", "revision"), [(-1, 0), (MAX_ERA + 1, 0), (0, 10**12)])
def test_position_out_of_range_is_refused(era, revision):
    with pytest.raises(ValueError, match="no position"):
        make_position(era, revision)


def test_view_that_was_never_read_is_in_no_era():
    assert era_of(None) == 0
