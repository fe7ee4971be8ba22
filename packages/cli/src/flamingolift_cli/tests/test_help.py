"""Every command has help with an example, and faults have exit codes."""

import pytest
from click.testing import CliRunner
from flamingolift_cli.main import main


@pytest.mark.parametrize("name", sorted(main.commands))
def test_every_command_has_help_with_an_example(name):
    done = CliRunner().invoke(main, [name, "--help"])
    assert done.exit_code == 0
    assert "Example: flamingolift" in done.output


def test_unreachable_store_has_its_code():
    options = ["--store-url", "http://127.0.0.1:9", "--store-timeout-s", "0.3"]
    done = CliRunner().invoke(main, [*options, "history"])
    assert done.exit_code == 50
    assert "5001 STORE_UNAVAILABLE" in done.output


def test_check_names_file_line_and_code(tmp_path):
    path = tmp_path / "bad.toml"
    path.write_text('fleet = "x"\n[shift]\ncap = 7\n')
    done = CliRunner().invoke(main, ["check", str(path)])
    assert done.exit_code == 40
    assert f"{path}:3: 4002 shift.cap" in done.output
