"""A soak of separate processes: events from outside, and checks of what was seen."""
