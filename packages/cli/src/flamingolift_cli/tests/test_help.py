"""Commands: help texts with an example, exit codes, and the output of `trace`."""

import json

import pytest
from click.testing import CliRunner
from flamingolift_cli.main import main


@pytest.mark.parametrize("name", sorted(main.commands))
def test_every_command_has_help_with_an_example(name):
    done = CliRunner().invoke(main, [name, "--help"])
    assert done.exit_code == 0
    assert "Example: flamingolift" in done.output


def test_unreachable_store_exits_with_its_code():
    options = ["--store-url", "http://127.0.0.1:9", "--store-timeout-s", "0.3"]
    done = CliRunner().invoke(main, [*options, "history"])
    assert done.exit_code == 50
    assert "5001 STORE_UNAVAILABLE" in done.output


def test_check_reports_file_line_and_code(tmp_path):
    path = tmp_path / "bad.toml"
    path.write_text('fleet = "x"\n[shift]\ncap = 7\n')
    done = CliRunner().invoke(main, ["check", str(path)])
    assert done.exit_code == 40
    assert f"{path}:3: 4002 shift.cap" in done.output


def test_trace_describes_sends_and_related_events(tmp_path):
    done = {
        "event": "request_done",
        "instance": "front-1",
        "at": 100.0,
        "id": "q7",
        "outcome": "OUTCOME_UNKNOWN",
        "status": 504,
        "route": "r-book",
        "service": "books",
        "policy": 3,
        "revision": 40,
        "elapsed_ms": 120.0,
        "sends": [["i-1", 0, 2, "lost", 100.0]],
        "detail": "the answer was lost",
    }
    failed = {
        "event": "server_failed",
        "instance": "front-1",
        "at": 99.9,
        "server": "i-1",
        "outcome": "lost",
        "suspended_s": 0.0,
    }
    other = {**failed, "server": "i-2"}
    log = tmp_path / "front-1.log"
    lines = [json.dumps(line) for line in (other, failed, done)]
    log.write_text("\n".join(["not json", *lines]))
    shown = CliRunner().invoke(main, ["trace", "q7", str(log)])
    assert shown.exit_code == 0
    assert (
        "i-1 (place 0, 2 requests known on it) gave no whole answer; it may have run"
        in shown.output
    )
    assert "3001 OUTCOME_UNKNOWN" in shown.output
    assert "i-2" not in shown.output
    missing = CliRunner().invoke(main, ["trace", "q8", str(log)])
    assert missing.exit_code == 20
