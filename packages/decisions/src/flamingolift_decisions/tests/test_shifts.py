from flamingolift_decisions.hashing import weighted_choice
from flamingolift_decisions.shifts import moved_fraction

KEYS = [f"10.{i // 250}.{i % 250}.0/24" for i in range(20_000)]


def test_moved_fraction_matches_a_count():
    old = {"a": 0.5, "b": 0.3, "c": 0.2}
    new = {"a": 0.2, "b": 0.3, "d": 0.5}
    moved = sum(weighted_choice(k, old) != weighted_choice(k, new) for k in KEYS)
    assert abs(moved / len(KEYS) - moved_fraction(old, new)) < 0.02
