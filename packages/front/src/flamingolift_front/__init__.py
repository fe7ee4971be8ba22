"""The front: forwards callers' requests to backend servers.

Every entry instance on a managed platform runs one front. It keeps a view of the
routes, backend servers and other instances, read through a `StorePort` that hides
the platform's names and formats.
"""

from flamingolift_front.state import Front, StorePort, ViewChange

__all__ = ["Front", "StorePort", "ViewChange"]
