"""Tests of the byte budget of a process."""

import math

from flamingolift_decisions.bytebudget import ByteBudget, hold, may_hold, release


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
