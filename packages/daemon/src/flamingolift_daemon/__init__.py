"""The entry instance: one process that answers look-ups and carries requests."""

__all__ = ["main", "wiring"]
