"""Budget for retries and hedged requests."""

__all__ = ["RetryBudget", "deposit", "set_ratio", "withdraw"]

MAX_BALANCE = 10.0
"""Largest balance of a budget, which a burst of retries may use (retries)."""


class RetryBudget:
    """Token bucket that first attempts fill and retries draw from.

    Attributes:
        ratio: Retries allowed for each first attempt (ratio).
        balance: Retries that may be sent now.
    """

    __slots__ = ("balance", "ratio")

    def __init__(self, ratio):
        self.ratio = ratio
        self.balance = MAX_BALANCE if ratio > 0.0 else 0.0


def set_ratio(budget, ratio):
    """Changes the ratio when a new policy takes effect.

    Args:
        budget: RetryBudget.
        ratio: Retries allowed for each first attempt (ratio).
    """
    budget.ratio = ratio
    if ratio <= 0.0:
        budget.balance = 0.0


def deposit(budget):
    """Adds the share of a retry that a first attempt earns."""
    budget.balance = min(MAX_BALANCE, budget.balance + budget.ratio)


def withdraw(budget):
    """Takes one retry from the budget if its balance allows.

    Args:
        budget: RetryBudget.

    Returns:
        Whether the retry may be sent.

    Notes:
        Over any sequence of n first attempts at most ``MAX_BALANCE + ratio * n``
        retries are sent, so that retries do not amplify an outage.
    """
    if budget.balance < 1.0:
        return False
    budget.balance -= 1.0
    return True
