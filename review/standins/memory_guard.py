"""Kills a process whose own memory exceeds a limit, as the users' platform does.

Usage: memory_guard.py PID MIB. What is mapped from files is not counted. It ends with
the process and prints the largest amount that it saw.
"""

import os
import re
import signal
import sys
import time

PAUSE_S = 0.005


def read_peak_mib(pid):
    """Returns the largest own memory so far (MiB), or None once the process ended."""
    try:
        with open(f"/proc/{pid}/status", encoding="ascii") as file:
            text = file.read()
    except OSError:
        return None
    sizes = dict(re.findall(r"^(VmHWM|RssFile):\s+(\d+)", text, re.MULTILINE))
    if len(sizes) < 2:
        return None
    return (int(sizes["VmHWM"]) - int(sizes["RssFile"])) / 1024.0


def main():
    """Watches the process."""
    pid, limit = int(sys.argv[1]), float(sys.argv[2])
    largest = 0.0
    while (peak := read_peak_mib(pid)) is not None:
        largest = max(largest, peak)
        if peak > limit:
            os.kill(pid, signal.SIGKILL)
            print(f"killed at {peak:.0f} MiB", flush=True)
            return
        time.sleep(PAUSE_S)
    print(f"ended, {largest:.0f} MiB at most", flush=True)


main()
