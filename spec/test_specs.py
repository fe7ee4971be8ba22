"""Checks each Promela specification exhaustively, and that broken variants fail."""

import pathlib
import re
import shutil
import subprocess

import pytest

SPEC_FOLDER = pathlib.Path(__file__).parent
SEARCH_DEPTH = 200_000

SPECIFICATIONS = ["shift", "booking", "config", "handover"]
BROKEN_VARIANTS = [
    ("shift", ["-DNOGUARD"]),
    ("shift", ["-DNOGUARD", "-DBROKEN"]),
    ("booking", ["-DBROKEN"]),
    ("config", ["-DBROKEN"]),
    ("handover", ["-DHAND_ON_AGAIN"]),
    ("handover", ["-DRESEND_AFTER_LOST_HOP"]),
    ("handover", ["-DREFUSE_AFTER_LOST_HOP"]),
    ("handover", ["-DHAND_ON_AFTER_UNKNOWN"]),
]
# Specifications without endless processes, of which every execution has to end.
FINITE_SPECIFICATIONS = ["handover"]


def run_checker(name, defines, folder, finds_cycles=False):
    """Runs spin; returns (errors, states, whether the search was complete, output)."""
    assert shutil.which("spin"), "spin is missing; `make test` installs it"
    subprocess.run(
        ["spin", *defines, "-a", str(SPEC_FOLDER / f"{name}.pml")],
        cwd=folder,
        check=True,
        capture_output=True,
    )
    compile_command = [
        "cc",
        "-w",
        "-O2",
        "-DNP" if finds_cycles else "-DSAFETY",
        "-DCOLLAPSE",
        "-o",
        "pan",
        "pan.c",
    ]
    subprocess.run(compile_command, cwd=folder, check=True, capture_output=True)
    done = subprocess.run(
        ["./pan", *(["-l"] if finds_cycles else []), f"-m{SEARCH_DEPTH}", "-w24"],
        cwd=folder,
        capture_output=True,
        text=True,
    )
    errors = int(re.search(r"errors: (\d+)", done.stdout).group(1))
    states = int(re.search(r"(\d+) states, stored", done.stdout).group(1))
    complete = "Search not completed" not in done.stdout
    complete = complete and "max search depth too small" not in done.stdout
    return errors, states, complete, done.stdout


@pytest.mark.parametrize("name", SPECIFICATIONS)
def test_specification_holds(name, tmp_path):
    errors, states, complete, output = run_checker(name, [], tmp_path)
    print(f"{name}: {states} states")
    assert errors == 0, output
    assert complete, output


# Without a progress label in the specification, every cycle is one without progress.
@pytest.mark.parametrize("name", FINITE_SPECIFICATIONS)
def test_every_execution_ends(name, tmp_path):
    errors, _, complete, output = run_checker(name, [], tmp_path, finds_cycles=True)
    assert errors == 0, output
    assert complete, output


@pytest.mark.parametrize(("name", "defines"), BROKEN_VARIANTS)
def test_broken_variant_is_rejected(name, defines, tmp_path):
    errors, _, _, output = run_checker(name, defines, tmp_path)
    assert errors > 0, output
    assert "assertion violated" in output
