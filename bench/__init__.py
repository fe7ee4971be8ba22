"""Benchmarks: both deployments at their current size, in real processes."""
