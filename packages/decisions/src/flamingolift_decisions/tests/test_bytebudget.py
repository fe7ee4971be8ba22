"""Tests of the byte budget of a process."""

import math

from flamingolift_decisions.bytebudget import (
    RESERVED_BYTES,
    ByteBudget,
    abandon_claim,
    budget_for,
    can_ever_hold,
    claim,
    hold,
    may_buffer,
    may_hold,
    release,
)


def test_budget_without_a_limit_takes_everything():
    budget = ByteBudget()
    assert may_hold(budget, 1 << 50) and budget.limit_bytes == math.inf


def test_bodies_leave_room_for_answers():
    budget = ByteBudget(1000)
    hold(budget, 750, is_body=True)
    assert not may_hold(budget, 1, is_body=True)
    assert may_hold(budget, 250)
    assert not may_hold(budget, 251)


def test_released_bytes_may_be_held_again():
    budget = ByteBudget(1000)
    hold(budget, 1000)
    assert not may_hold(budget, 1)
    release(budget, 400)
    assert may_hold(budget, 400) and not may_hold(budget, 401)
    assert budget.peak_bytes == 1000


def test_claims_are_granted_in_their_order():
    budget, granted = ByteBudget(1000), []
    hold(budget, 700, is_body=True)
    for name, size in (("a", 400), ("b", 10)):
        claim(budget, size, True, lambda name=name: granted.append(name))
    assert granted == []
    release(budget, 350, is_body=True)
    assert granted == ["a"]
    release(budget, 350, is_body=True)
    assert granted == ["a", "b"] and budget.body_bytes == 410


def test_small_bytes_do_not_wait_for_large_bodies():
    budget, granted = ByteBudget(1000), []
    hold(budget, 750, is_body=True)
    claim(budget, 700, True, lambda: granted.append("large"))
    claim(budget, 100, False, lambda: granted.append("small"))
    assert granted == ["small"]


def test_abandoned_claim_lets_the_next_one_in():
    budget, granted = ByteBudget(1000), []
    hold(budget, 700, is_body=True)
    waiting = claim(budget, 600, True, lambda: granted.append("large"))
    claim(budget, 50, True, lambda: granted.append("next"))
    abandon_claim(budget, waiting)
    assert granted == ["next"]
    release(budget, 750, is_body=True)
    assert granted == ["next"] and budget.body_bytes == 0


def test_body_beyond_the_share_of_bodies_can_never_be_held():
    budget = ByteBudget(1000)
    assert can_ever_hold(budget, 750, is_body=True)
    assert not can_ever_hold(budget, 751, is_body=True)
    assert can_ever_hold(budget, 1000)


def test_budget_leaves_room_for_the_process_itself():
    assert budget_for(152).limit_bytes == 152_000_000 - RESERVED_BYTES
    assert budget_for(60).limit_bytes == 15_000_000


def test_answers_leave_room_for_bodies():
    budget = ByteBudget(1000)
    assert may_buffer(budget, 500) and not may_buffer(budget, 501)
    hold(budget, 500)
    assert may_hold(budget, 400, is_body=True)
    hold(budget, 400, is_body=True)
    assert not may_buffer(budget, 1) and not may_hold(budget, 1, is_body=True)
    assert may_hold(budget, 100)
