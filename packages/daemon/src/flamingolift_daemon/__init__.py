"""The entry instance: a process that answers look-ups and forwards requests."""

__all__ = ["main", "wiring"]
