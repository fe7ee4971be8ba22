"""Which failures a run passes over, and that it prints them."""

import pathlib
import subprocess
import sys

from tools.knownred import read_known_red

ROOT = pathlib.Path(__file__).parents[1]
LIST = """# Findings.

test: test_some.py::test_listed[1]
  seen: once

test: test_some.py, fixture `x`
bench: fleetbench run x
  test: test_some.py::test_indented
"""
TESTS = """
import pytest

@pytest.mark.parametrize("number", [1, 2])
def test_listed(number):
    assert number > 2

def test_indented():
    assert False
"""


def test_only_single_tests_are_read():
    assert read_known_red(LIST) == {"test_some.py::test_listed[1]"}


def test_each_listed_test_exists():
    for name in read_known_red((ROOT / "KNOWN-RED.txt").read_text()):
        path, _, function = name.partition("::")
        assert f"def {function.partition('[')[0]}(" in (ROOT / path).read_text()


def test_run_prints_listed_failures_and_fails_for_all_others(tmp_path):
    (tmp_path / "KNOWN-RED.txt").write_text(LIST)
    (tmp_path / "test_some.py").write_text(TESTS)
    (tmp_path / "conftest.py").write_text((ROOT / "conftest.py").read_text())
    (tmp_path / "pytest.ini").write_text("[pytest]\naddopts = -q -rxX\n")
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", str(tmp_path)],
        cwd=tmp_path,
        env={"PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert run.returncode == 1
    assert "XFAIL test_some.py::test_listed[1] - KNOWN-RED.txt" in run.stdout
    assert "2 failed, 1 xfailed" in run.stdout
