"""Positions in the history of the store, over the eras that it begins.

A store that is restored from an older copy begins a new era and gives out revisions
again. A position counts the eras before the revisions, so that a later era is always
newer, and what was read in an earlier one never hides what was written since.
"""

__all__ = ["MAX_ERA", "era_of", "make_position", "revision_of"]

REVISIONS_PER_ERA = 10**12
"""Positions of one era; a round number, so that logs show era and revision."""
MAX_ERA = 10**5
"""Largest era, so that a position stays below 2**63."""


def make_position(era, revision):
    """Returns the position of a revision in an era.

    Args:
        era: Number of the era; grows by one with each restored copy.
        revision: Revision of the store within the era.

    Raises:
        ValueError: The era or the revision is out of range.

    Examples:
        >>> make_position(2, 845)
        2000000000845
        >>> make_position(3, 12) > make_position(2, 845)
        True
    """
    if not 0 <= era <= MAX_ERA or not 0 <= revision < REVISIONS_PER_ERA:
        raise ValueError(f"no position for era {era}, revision {revision}")
    return era * REVISIONS_PER_ERA + revision


def era_of(position):
    """Returns the era of a position; 0 for None."""
    return 0 if position is None else position // REVISIONS_PER_ERA


def revision_of(position):
    """Returns the store's revision of a position."""
    return position % REVISIONS_PER_ERA
