"""Mutation tests: checks that the tests detect a naive version of each mechanism.

Each case replaces a mechanism in a scratch copy by a naive version of it and runs the
test that should fail. The P cases are numbered as in docs/PROMISES.md; the F cases are
about the front. Run as ``python tools/bite.py [case ...]``; a case is selected by the
start of its name.
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
FRONT = "packages/front/src/flamingolift_front"
PATH = "integration/test_platform.py"
VIEW = "integration/test_platform_view.py"
TIMEOUT_S = 180

CASES = {
    "P1 apply each plan at once": (
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
        "integration/test_faults.py::test_server_that_underreports_its_load_is_not_overloaded",
    ),
    "P3 reuse connections without an echoed exchange id": (
        [
            (
                f"{DAEMON}/backendclient.py",
                "    pooled.echoes_exchange_id = echoed == exchange_id\n",
                "    pooled.echoes_exchange_id = True\n    return True\n",
            )
        ],
        "integration/test_faults.py::test_duplicated_responses_do_not_answer_another_request",
    ),
    "P4 report the last attempt only": (
        [
            (
                f"{DAEMON}/forwarding.py",
                "        if outcome.sent or not may_have_run:\n",
                "        if True:\n",
            )
        ],
        "packages/daemon/src/flamingolift_daemon/tests/test_forwarding.py",
    ),
    "P5 run a booking on any instance": (
        [
            (
                f"{DAEMON}/bookinghome.py",
                "    if (facts.home_id, facts.home_incarnation) == self_identity:\n        return await run_at_home",
                "    if True:\n        return await run_at_home",
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
        "integration/test_drain.py::test_graceful_stop_of_an_instance_fails_no_request",
    ),
    "P8 accept documents with older numbers": (
        [
            (
                f"{DECISIONS}/documents.py",
                "    if held is not None and number <= held.number:\n",
                "    if held is not None and number == held.number:\n",
            )
        ],
        f"{DECISIONS}/tests/test_membership.py::test_older_document_never_replaces_a_newer_one",
    ),
    "F1 resend a booking after a lost answer": (
        [
            (
                f"{FRONT}/forwarding.py",
                "UNKNOWN_OUTCOMES and not route.idempotent:",
                "():",
            )
        ],
        f"{PATH}::test_booking_is_sent_once_when_its_answer_is_lost",
    ),
    "F2 decide on a resend by the method instead of the route": (
        [
            (
                f"{FRONT}/forwarding.py",
                "UNKNOWN_OUTCOMES and not route.idempotent:",
                'UNKNOWN_OUTCOMES and req.method != b"GET":',
            )
        ],
        f"{PATH}::test_unsafe_get_is_sent_once_too",
    ),
    "F3 take every answer on a connection": (
        [(f"{FRONT}/sending.py", "return echoed == req.request_id", "return True")],
        f"{PATH}::test_duplicate_response_is_given_to_no_request",
    ),
    "F4 choose servers without object affinity": (
        [
            (
                f"{DECISIONS}/affinity.py",
                "key = object_key or request_id",
                "key = request_id",
            )
        ],
        f"{PATH}::test_requests_for_an_object_keep_their_server",
    ),
    "F5 continue when the caller has left": (
        [
            (
                f"{FRONT}/answering.py",
                "conn.stream.on_end = cancel",
                "conn.stream.on_end = None",
            )
        ],
        f"{PATH}::test_disconnect_of_the_caller_cancels_the_request",
    ),
    "F6 wait for an overdue server": (
        [
            (
                f"{DECISIONS}/attempttimeout.py",
                "TIMEOUT_RATIO = 4.0",
                "TIMEOUT_RATIO = 4e9",
            )
        ],
        f"{PATH}::test_overdue_request_goes_to_another_server",
    ),
    "F7 ignore that a server leaves": (
        [(f"{DECISIONS}/availability.py", 'if entry.state == "leaving":', "if False:")],
        f"{VIEW}::test_draining_server_gets_no_new_requests",
    ),
    "F8 accept policies with older numbers": (
        [
            (
                f"{FRONT}/viewsync.py",
                "return policy.number < table.number",
                "return False",
            )
        ],
        f"{VIEW}::test_configuration_takes_effect_and_never_reverts",
    ),
    "F9 drop entries that lapse in an outage": (
        [
            (
                f"{FRONT}/viewsync.py",
                "MASS_EXPIRY_SHARE = 0.34",
                "MASS_EXPIRY_SHARE = 34.0",
            )
        ],
        f"{VIEW}::test_entries_that_expire_together_in_an_outage_are_kept",
    ),
    "F10 watch the store only": (
        [
            (
                f"{FRONT}/viewsource.py",
                "if not _needs_peers(front):",
                "if True:",
            ),
            (f"{FRONT}/viewproof.py", "if source is None:", "if True:"),
        ],
        f"{VIEW}::test_instance_without_the_store_gets_changes_from_peers",
    ),
    "F11 trust a relay that has stopped": (
        [
            (
                f"{FRONT}/relaysync.py",
                "            if relay_failed:\n",
                "            if len(failing) == len(relays):\n"
                "                return FollowingEnd.RELAYS_FAILED\n"
                "            if False:\n",
            ),
            (
                f"{FRONT}/relaysync.py",
                "wait_expired(front, following.announced.is_set)",
                "asyncio.sleep(3600.0)",
            ),
        ],
        f"{VIEW}::test_large_region_follows_relays_and_tolerates_two_that_are_suspended",
    ),
    "F12 spread an object over all servers in an overload": (
        [
            (
                f"{DECISIONS}/affinity.py",
                "MAX_SERVERS_WHEN_BUSY = 2",
                "MAX_SERVERS_WHEN_BUSY = 99",
            )
        ],
        "integration/test_fleetsimulation.py::"
        "test_fleet_recovers_within_seconds_of_a_long_overload",
    ),
    "F13 stop at once": (
        [
            (
                f"{FRONT}/run.py",
                "front.exit_at = started + front.cfg.grace_s - EXIT_MARGIN_S",
                "front.exit_at = started",
            ),
            (f"{FRONT}/run.py", "front.cfg.grace_s * ACCEPT_SHARE", "0.0"),
        ],
        f"{PATH}::test_graceful_stop_completes_running_requests_and_exits_in_time",
    ),
    "F14 trust each watch": (
        [
            (
                f"{FRONT}/viewsource.py",
                "SHORT_WATCH_WAIT_S = 0.8",
                "SHORT_WATCH_WAIT_S = 25.0",
            )
        ],
        f"{VIEW}::test_changes_missed_by_a_new_watch_are_noticed",
    ),
    "F15 admit every request": (
        [(f"{DECISIONS}/admission.py", "return share > 0.0 and", "return False and")],
        f"{DECISIONS}/tests/test_admission.py",
    ),
    "F16 transfer a large update from every relay": (
        [(f"{FRONT}/relaysync.py", "HEDGE_S = 0.5", "HEDGE_S = 0.0")],
        f"{FRONT}/tests/test_relaysync.py::test_large_update_is_transferred_once",
    ),
    "F17 send a large update with the poll": (
        [(f"{FRONT}/peersync.py", "INLINE_BYTES = 8192", "INLINE_BYTES = 0")],
        f"{FRONT}/tests/test_relaysync.py::test_large_update_is_transferred_once",
    ),
    "F18 send documents uncompressed": (
        [
            (
                f"{FRONT}/viewupdates.py",
                "COMPRESS_FROM_BYTES = 2048",
                "COMPRESS_FROM_BYTES = 1 << 40",
            )
        ],
        "integration/test_large_policy.py::"
        "test_large_policy_is_in_force_in_time_behind_slow_links",
    ),
    "F19 choose relays without their links": (
        [
            (
                f"{DECISIONS}/relays.py",
                "ordered.sort(key=lambda entry: -entry.link_mbps)",
                "ordered.sort(key=lambda entry: 0)",
            )
        ],
        f"{DECISIONS}/tests/test_relays.py",
    ),
    "F20 never read an overdue update from the store": (
        [
            (
                f"{FRONT}/relaysync.py",
                "ANNOUNCED_TIMEOUT_S = 1.4",
                "ANNOUNCED_TIMEOUT_S = 1e9",
            )
        ],
        f"{FRONT}/tests/test_relaysync.py::"
        "test_announced_update_that_does_not_arrive_ends_the_following",
    ),
    "F21 send the whole view after a lost history": (
        [
            (
                f"{FRONT}/viewsync.py",
                "is_first = view.recent_after is None",
                "is_first = True",
            )
        ],
        f"{FRONT}/tests/test_viewupdates.py::"
        "test_relay_that_reads_a_snapshot_sends_the_difference",
    ),
    "F22 refuse while the instance is cut off": (
        [
            (
                f"{FRONT}/handover.py",
                "    if not may_connect(front, trace.service):\n        return True\n",
                "    return False\n",
            )
        ],
        "integration/test_cut_off.py::test_booking_is_handed_on_and_runs_once",
    ),
    "F23 hand a request on from each instance": (
        [
            (
                f"{FRONT}/handover.py",
                "if req.attempts_left is not None or",
                "if",
            )
        ],
        "integration/test_cut_off.py::test_request_that_was_handed_on_goes_no_further",
    ),
    "F24 close idle connections by a timer alone": (
        [
            (
                f"{FRONT}/bytestream.py",
                "    return _is_readable(stream)\n\n\ndef hold_input",
                "    return loop_time() < ends_at\n\n\ndef hold_input",
            ),
            (
                f"{FRONT}/bytestream.py",
                "import socket\n",
                "import socket\nfrom time import monotonic as loop_time\n",
            ),
        ],
        f"{FRONT}/tests/test_unanswered_requests.py",
    ),
    "F25 ignore a server that says that it leaves": (
        [
            (
                f"{FRONT}/servernotices.py",
                'if value.strip() == "1":',
                "if False:",
            )
        ],
        "integration/test_leaving_servers.py",
    ),
    "F26 keep the ends of servers to oneself": (
        [
            (
                f"{FRONT}/crashsync.py",
                "        message = _encode(front, keys, named)\n",
                "        message = _encode(front, (), ())\n",
            ),
            (
                f"{FRONT}/crashsync.py",
                "    return binary_response(200, _encode(front, record.ends, record.exceptions))",
                "    return binary_response(200, msgpack.packb({}))",
            ),
        ],
        f"{FRONT}/tests/test_crashsync.py",
    ),
    "F27 take each lost answer for the end of a server": (
        [
            (
                f"{FRONT}/crashwatch.py",
                "    if has_ended:\n        _record",
                "    if True:\n        _record",
            )
        ],
        "integration/test_crashing_requests.py::test_request_whose_connections_are_reset_is_not_held",
    ),
    "F28 let each instance try a held request": (
        [
            (
                f"{DECISIONS}/quarantine.py",
                "    if now < due_at:\n        return due_at - now\n",
                "",
            )
        ],
        f"{FRONT}/tests/test_crashsync.py",
    ),
    "F29 compare no records": (
        [(f"{FRONT}/run.py", "        crashsync.pull_crashes,\n", "")],
        "integration/test_crashing_requests.py::test_instance_that_missed_the_ends_holds_the_request",
    ),
    "F30 take failed connects to servers that ended for an own cut": (
        [
            (
                f"{FRONT}/pathrecords.py",
                "    if _seems_ended(front, entry, now):",
                "    if False:",
            ),
            (
                f"{FRONT}/crashwatch.py",
                "        pathrecords.note_ended(front, end.service, end.server_id)\n",
                "",
            ),
        ],
        "integration/test_crashing_requests.py::test_ends_of_servers_are_not_taken_for_an_own_cut",
    ),
    "F31 start bookings before their turn": (
        [
            (
                f"{DECISIONS}/earlystarts.py",
                "return route is not None and route.idempotent",
                "return route is not None",
            )
        ],
        "integration/test_pipelines.py::test_look_ups_run_side_by_side_and_a_booking_at_its_turn",
    ),
    "F32 serve one request of a connection after the other": (
        [
            (
                f"{DECISIONS}/earlystarts.py",
                "return route is not None and route.idempotent",
                "return False",
            )
        ],
        f"{FRONT}/tests/test_pipelined_starts.py::test_burst_of_safe_requests_is_served_side_by_side",
    ),
    "F33 leave requests at work behind a cut answer": (
        [
            (
                f"{FRONT}/readahead.py",
                "        exchange.task.cancel()\n        await",
                "        await",
            ),
            (
                f"{FRONT}/readahead.py",
                "            exchange.task.cancel()",
                "            pass",
            ),
        ],
        f"{FRONT}/tests/test_pipelined_starts.py::test_requests_behind_a_cut_answer_end_with_the_connection",
    ),
    "F34 count a 421 as an attempt": (
        [
            (
                f"{FRONT}/forwarding.py",
                "            trace.misdirected += 1\n",
                "            trace.misdirected += 1\n            trace.attempts += 1\n",
            )
        ],
        f"{FRONT}/tests/test_reused_addresses.py::test_address_that_was_used_again_is_no_attempt",
    ),
    "F35 order servers without the region": (
        [
            (
                f"{DECISIONS}/regioncost.py",
                "OWN_REGION_WEIGHT = 2.0",
                "OWN_REGION_WEIGHT = 1.0",
            )
        ],
        f"{DECISIONS}/tests/test_affinity.py::test_share_of_the_own_region_follows_its_servers",
    ),
    "F36 take the same cost of another region for all routes": (
        [
            (
                f"{DECISIONS}/regioncost.py",
                "if load <= RAISING_LOAD and cost >= _cost_at(steps + STEP_MARGIN):",
                "if False:",
            )
        ],
        f"{DECISIONS}/tests/test_regioncost.py::test_weight_follows_the_measured_cost",
    ),
    "F37 refuse large answers by the load of the own region": (
        [
            (
                f"{DECISIONS}/fullregions.py",
                "return Placing.SPILL if has_others else Placing.SHED",
                "return Placing.SHED",
            )
        ],
        f"{DECISIONS}/tests/test_fullregions.py"
        "::test_nothing_is_refused_while_another_region_has_room",
    ),
    "F38 refuse callers before the first view": (
        [
            (
                f"{FRONT}/firstview.py",
                "wait_s = first_request_wait(",
                "wait_s = 0.0 * first_request_wait(",
            )
        ],
        f"{FRONT}/tests/test_first_view.py"
        "::test_requests_of_a_returning_fleet_are_served_after_the_first_view",
    ),
}


def run_case(changes, test):
    """Runs a test on a scratch copy in which some texts are replaced.

    Args:
        changes: List of (file, old text, new text).
        test: Test for pytest.

    Returns:
        Tuple of whether it failed and the lines of its output that show how.
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
        sources.append(str(copy / "platform/src"))
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
    undetected = []
    for name, (changes, test) in CASES.items():
        if wanted and not any(name.startswith(item) for item in wanted):
            continue
        failed, lines = run_case(changes, test)
        print(f"{name}: {'detected' if failed else 'NOT DETECTED'}")
        for line in [*lines[:2], *lines[-2:]]:
            print("   ", line[:160])
        if not failed:
            undetected.append(name)
    if undetected:
        raise SystemExit("not detected: " + ", ".join(undetected))


if __name__ == "__main__":
    main()
