"""Bounds on how many callers a change of weights moves."""

from flamingolift_model.plan import SpentEntry

__all__ = [
    "ShiftLimiter",
    "advance_rows",
    "blend_rows",
    "largest_move",
    "moved_fraction",
    "normalize",
    "prune_spent",
    "spent_share",
    "step_toward",
]

ROUNDING = 1e-9
"""Moved fraction below which rows count as equal (ratio)."""
SEARCH_STEPS = 24
"""Bisection steps for the largest admissible blend (2**-24 of the move)."""


def normalize(weights):
    """Scales weights so that they sum to one.

    Args:
        weights: Map of name to a weight of at least zero.

    Returns:
        Map of the names of positive weight to their share; empty if none is.
    """
    total = sum(w for w in weights.values() if w > 0.0)
    return {n: w / total for n, w in weights.items() if w > 0.0} if total > 0.0 else {}


def moved_fraction(old, new):
    """Returns the expected share of keys that a change of weights moves.

    Args:
        old: Map of site to weight before the change.
        new: Map of site to weight after the change.

    Returns:
        Ratio from 0 to 1; exact for `hashing.weighted_choice` over many keys,
        and a metric on weights, so that the moves of successive plans bound the
        move from the first to the last.

    Notes:
        One minus the probability Jaccard similarity: Moulton and Jiang,
        "Maximally Consistent Sampling and the Jaccard Index of Probability
        Distributions", ICDM 2018, theorem 2.
    """
    p, q = normalize(old), normalize(new)
    if not p or not q:
        return 0.0 if not p and not q else 1.0
    shared = sorted((n for n in p if n in q), key=lambda n: p[n] / q[n])
    p_above = sum(p.values())
    q_below = sum(w for n, w in q.items() if n not in p)
    kept = 0.0
    index = 0
    while index < len(shared):
        ratio = p[shared[index]] / q[shared[index]]
        end = index
        while end < len(shared) and p[shared[end]] / q[shared[end]] == ratio:
            end += 1
        group = shared[index:end]
        for name in group:
            kept += 1.0 / (p_above / p[name] + q_below / q[name])
        p_above -= sum(p[name] for name in group)
        q_below += sum(q[name] for name in group)
        index = end
    return min(1.0, max(0.0, 1.0 - kept))


def _row_pairs(old_rows, new_rows):
    for service in sorted(set(old_rows) | set(new_rows)):
        old_service = old_rows.get(service, {})
        new_service = new_rows.get(service, {})
        for origin in sorted(set(old_service) | set(new_service)):
            yield service, origin, old_service.get(origin), new_service.get(origin)


def largest_move(old_rows, new_rows):
    """Returns the largest moved fraction of any row.

    Args:
        old_rows: Map of service to origin region to site to weight.
        new_rows: The same after the change.

    Returns:
        Ratio from 0 to 1. A row that appears or disappears moves nobody, since
        it had or will have no callers.
    """
    return _worst_row(old_rows, new_rows)[0]


def _worst_row(old_rows, new_rows):
    """Returns the largest moved fraction and the (service, origin) of its row."""
    worst, place = 0.0, None
    for service, origin, old, new in _row_pairs(old_rows, new_rows):
        if not old or not new or old == new:
            continue
        moved = moved_fraction(old, new)
        if moved > worst:
            worst, place = moved, (service, origin)
    return worst, place


def blend_rows(old_rows, new_rows, share):
    """Mixes two sets of rows.

    Args:
        old_rows: Map of service to origin region to site to weight.
        new_rows: The same, as the target.
        share: Ratio of the target in the mix, from 0 to 1.

    Returns:
        Rows with the services and origins of the target.
    """
    blended = {}
    for service, origin, old, new in _row_pairs(old_rows, new_rows):
        if not new:
            continue
        p, q = normalize(old or new), normalize(new)
        row = {
            site: (1.0 - share) * p.get(site, 0.0) + share * q.get(site, 0.0)
            for site in sorted(set(p) | set(q))
        }
        blended.setdefault(service, {})[origin] = {
            s: w for s, w in row.items() if w > 0
        }
    return blended


def _blend_row(old, new, share):
    """Mixes one row; returns the sites of positive weight."""
    p, q = normalize(old), normalize(new)
    mixed = {
        site: (1.0 - share) * p.get(site, 0.0) + share * q.get(site, 0.0)
        for site in sorted(set(p) | set(q))
    }
    return {site: weight for site, weight in mixed.items() if weight > 0.0}


def _largest_share(old, new, budget, high):
    """Returns the largest share of the target within a budget for one row."""
    low = 0.0
    for _ in range(SEARCH_STEPS):
        middle = (low + high) / 2.0
        if moved_fraction(old, _blend_row(old, new, middle)) <= budget:
            low = middle
        else:
            high = middle
    return low


def step_toward(old_rows, new_rows, budget):
    """Goes as far toward target rows as a budget of moved callers allows.

    Args:
        old_rows: Rows in force.
        new_rows: Target rows.
        budget: Largest moved fraction of any row (ratio).

    Returns:
        Tuple of the rows and their largest moved fraction, at most `budget`. All
        rows go the same share of their way, so that the load of each region stays
        between its loads before and after.
    """
    share, rows = 1.0, blend_rows(old_rows, new_rows, 1.0)
    moved, place = _worst_row(old_rows, rows)
    while moved > budget:
        # The row that moves most bounds the share; seldom does a second one.
        service, origin = place
        old, new = old_rows[service][origin], new_rows[service][origin]
        share = _largest_share(old, new, budget, share)
        if share <= 0.0:
            return blend_rows(old_rows, new_rows, 0.0), 0.0
        rows = blend_rows(old_rows, new_rows, share)
        moved, place = _worst_row(old_rows, rows)
    return rows, moved


def prune_spent(spent, now, window_s):
    """Drops entries that are older than the window.

    Args:
        spent: List of SpentEntry, oldest first.
        now: Decider's clock (s since the epoch).
        window_s: Length of the window (s).

    Returns:
        List of the entries still within the window. An entry from a clock ahead
        of this one stays until this clock has passed it by a whole window.
    """
    return [entry for entry in spent if entry.decided_at + window_s > now]


def spent_share(spent):
    """Returns the sum of the moves in a list of SpentEntry (ratio)."""
    return sum(entry.moved for entry in spent)


class ShiftLimiter:
    """What one instance has moved within the last window, on its own clock.

    The guard is what holds the cap: it does not trust the decider's clock, its
    lease or its arithmetic.

    Attributes:
        rows: Rows in force on this instance; empty before the first plan.
        moves: List of SpentEntry with this instance's monotonic clock.
    """

    __slots__ = ("moves", "rows")

    def __init__(self):
        self.rows = {}
        self.moves = []


def advance_rows(guard, plan, cap, window_s, now):
    """Moves an instance's rows toward a plan as far as the cap allows.

    Args:
        guard: ShiftLimiter of the instance.
        plan: Plan to reach.
        cap: Largest share of a row's callers moved within a window (ratio).
        window_s: Length of the window (s).
        now: The instance's monotonic clock (s).

    Returns:
        Share of the largest row that moved. The first plan that an instance
        takes moves nobody, since nobody was steered by it before.
    """
    if not guard.rows:
        guard.rows = blend_rows({}, plan.rows, 1.0)
        return 0.0
    guard.moves = prune_spent(guard.moves, now, window_s)
    budget = cap - spent_share(guard.moves)
    if budget <= 0.0:
        return 0.0
    if largest_move(guard.rows, plan.rows) <= ROUNDING:
        guard.rows = blend_rows(guard.rows, plan.rows, 1.0)
        return 0.0
    guard.rows, moved = step_toward(guard.rows, plan.rows, budget)
    guard.moves.append(SpentEntry(number=plan.number, moved=moved, decided_at=now))
    return moved
