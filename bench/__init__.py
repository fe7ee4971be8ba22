"""The bench: both deployments at their size of today, in real processes."""
