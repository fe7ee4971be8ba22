"""The operator's command line."""

__all__ = ["main"]
