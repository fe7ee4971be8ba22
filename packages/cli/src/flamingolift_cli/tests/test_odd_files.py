"""Odd policy files and odd stored times end no command with a traceback."""

import pytest
from click.testing import CliRunner
from flamingolift_cli import policycommands
from flamingolift_cli.main import main


# Guards against a traceback in place of the file's faults.
@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xfe\x00",
        b"x = " + b"9" * 5000,
        b"x = 0x" + b"f" * 5000,
        b"x = " + b"[" * 100_000,
        b'x = "\\ud800"',
        b'"\xed\xa0\x80" = 1e999',
        b"",
    ],
    ids=range(7),
)
def test_check_of_an_odd_file_reports_faults(tmp_path, data):
    path = tmp_path / "policy.toml"
    path.write_bytes(data)
    result = CliRunner().invoke(main, ["check", str(path)])
    assert isinstance(result.exception, SystemExit), result.exception
    assert result.exit_code != 0
    assert str(path) in result.output


@pytest.mark.parametrize("at", [1e300, 1e12, -1e300])
def test_time_out_of_range_is_unknown(at):
    assert policycommands._timestamp(at) == "unknown"
    assert policycommands._timestamp(0.0) == "1970-01-01T00:00:00+00:00"
