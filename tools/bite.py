"""Shows that the tests of the promises fail on naive versions.

Each case replaces a mechanism by what a first version would do, in a scratch copy, and
runs the test that should notice. Run as ``python tools/bite.py [case ...]``.
"""

import os
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
DECISIONS = "packages/decisions/src/flamingolift_decisions"
DAEMON = "packages/daemon/src/flamingolift_daemon"
TIMEOUT_S = 180

CASES = {
    "P1 follow each plan at once": (
        [
            (
                f"{DECISIONS}/shifts.py",
                "    if budget <= 0.0:\n",
                "    budget = 1.0\n    if budget <= 0.0:\n",
            ),
            (
                f"{DECISIONS}/planner.py",
                "max(0.0, shift.cap - spent_share(spent))",
                "1.0",
            ),
        ],
        "integration/test_moves.py",
    ),
    "P2 grant without counting slots": (
        [
            (
                f"{DECISIONS}/pool.py",
                "    return slots\n\n\ndef pool_capacity",
                "    return 64\n\n\ndef pool_capacity",
            )
        ],
        "integration/test_faults.py::test_server_that_lies_about_its_load_is_not_overrun",
    ),
    "P3 reuse connections without a proof": (
        [
            (
                f"{DAEMON}/backendclient.py",
                "    known.echoes = echoed == exchange_id\n",
                "    known.echoes = True\n    return True\n",
            )
        ],
        "integration/test_faults.py::test_doubled_answers_stay_with_their_request",
    ),
    "P4 report the last try": (
        [
            (
                f"{DAEMON}/forwarding.py",
                "        if outcome.sent or not ran:\n",
                "        if True:\n",
            )
        ],
        "packages/daemon/src/flamingolift_daemon/tests/test_forwarding.py",
    ),
    "P5 run a booking wherever it arrives": (
        [
            (
                f"{DAEMON}/bookinghome.py",
                "    if (facts.home_id, facts.home_incarnation) == me:\n        return await _take_at_home",
                "    if True:\n        return await _take_at_home",
            )
        ],
        "integration/test_booking_storm.py::test_resend_to_every_instance_runs_once",
    ),
    "P6 ignore drains": (
        [(f"{DECISIONS}/servers.py", "    if server.drain_sources or ", "    if ")],
        "integration/test_drain.py::test_operator_drains_a_backend_server",
    ),
    "P7 stop at once": (
        [
            (
                f"{DAEMON}/wiring.py",
                "    ends_at = instance.clock.now() + instance.cfg.drain_grace_s\n",
                "    ends_at = instance.clock.now()\n",
            )
        ],
        "integration/test_drain.py::test_planned_stop_of_an_instance_cuts_nothing",
    ),
    "P8 take whatever arrives last": (
        [
            (
                f"{DECISIONS}/documents.py",
                "    if held is not None and number <= held.number:\n",
                "    if held is not None and number == held.number:\n",
            )
        ],
        f"{DECISIONS}/tests/test_membership.py::test_documents_never_go_back",
    ),
}


def run_case(changes, test):
    """Runs a test on a scratch copy with replaced mechanisms.

    Args:
        changes: List of (file, old text, new text).
        test: Test for pytest.

    Returns:
        Tuple of whether it failed and the lines that say how.
    """
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder) / "copy"
        skipped = shutil.ignore_patterns(".venv", ".git", "__pycache__", "out")
        shutil.copytree(ROOT, copy, ignore=skipped)
        for name, old, new in changes:
            path = copy / name
            text = path.read_text()
            if old not in text:
                raise SystemExit(f"{name} has changed; correct the case")
            path.write_text(text.replace(old, new, 1))
        sources = [str(p) for p in copy.glob("packages/*/src")]
        sources.append(str(copy / "standins/src"))
        done = subprocess.run(
            [sys.executable, "-m", "pytest", "-x", "-q", test],
            cwd=copy,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sources)},
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
    lines = re.findall(
        r"^(?:E  .*|FAILED.*|\d+ (?:passed|failed).*)$", done.stdout, re.M
    )
    return done.returncode == 1, lines


def main():
    """Runs the cases named on the command line, or all of them."""
    wanted = sys.argv[1:]
    missed = []
    for name, (changes, test) in CASES.items():
        if wanted and not any(name.startswith(item) for item in wanted):
            continue
        failed, lines = run_case(changes, test)
        print(f"{name}: {'fails, as it should' if failed else 'NOT NOTICED'}")
        for line in [*lines[:2], *lines[-2:]]:
            print("   ", line[:160])
        if not failed:
            missed.append(name)
    if missed:
        raise SystemExit("not noticed: " + ", ".join(missed))


if __name__ == "__main__":
    main()
