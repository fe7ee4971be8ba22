"""Event logs of processes that are started by tests and benchmark."""

import json

__all__ = ["read_event_log"]


def read_event_log(path, name=None):
    """Reads the events that a process has logged, while it may still write.

    Args:
        path: pathlib.Path of a log file with one JSON object a line.
        name: Name of the events to return; None for all.

    Returns:
        List of maps in the order of the log. A last line that has not been written
        to its end is left out.

    Raises:
        json.JSONDecodeError: A complete line is not JSON.
    """
    complete, _newline, _rest = path.read_bytes().rpartition(b"\n")
    lines = complete.split(b"\n") if complete else []
    if name is None:
        return [json.loads(line) for line in lines]
    # Logs are polled, and parsing takes most of the time.
    found = [json.loads(line) for line in lines if name.encode() in line]
    return [event for event in found if event["event"] == name]
