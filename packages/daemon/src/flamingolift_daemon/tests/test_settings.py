"""Settings: all faults are listed at once, and no key is shown."""

from click.testing import CliRunner
from flamingolift_daemon.main import main

GOOD = {
    "FLAMINGOLIFT_INSTANCE_ID": "i",
    "FLAMINGOLIFT_REGION": "r",
    "FLAMINGOLIFT_FAILURE_DOMAIN": "d",
    "FLAMINGOLIFT_CALLER_PORT": "8080",
    "FLAMINGOLIFT_OPERATOR_PORT": "8081",
    "FLAMINGOLIFT_PEER_PORT": "8082",
    "FLAMINGOLIFT_STORE_URL": "http://127.0.0.1:9000",
    "FLAMINGOLIFT_PEER_KEYS": "k:" + "11" * 16,
    "FLAMINGOLIFT_TICKET_KEYS": "k:" + "22" * 16,
    "FLAMINGOLIFT_OPERATOR_KEYS": "k:" + "33" * 16,
}


def run_check(*flags, **env):
    return CliRunner().invoke(main, ["--check", *flags], env={**GOOD, **env})


def test_valid_settings_pass():
    done = run_check()
    assert (done.exit_code, done.output.strip()) == (0, "settings are valid")


def test_all_faults_are_listed_at_once():
    done = run_check(
        "--caller-port",
        "many",
        FLAMINGOLIFT_PEER_PORT="99999",
        FLAMINGOLIFT_TICKET_KEYS="k:" + "44" * 3,
        FLAMINGOLIFT_LOG_LEVEL="loud",
        FLAMINGOLIFT_REGION="",
    )
    assert done.exit_code == 45
    for name in ("--caller-port", "--peer-port", "--log-level", "--region"):
        assert f"4101 SETTING_INVALID: {name} " in done.output


def test_faulty_key_is_not_shown():
    done = run_check(FLAMINGOLIFT_PEER_KEYS="k:" + "55" * 3)
    assert done.exit_code == 45
    assert "55" * 3 not in done.output


def test_flag_overrides_variable():
    assert (
        run_check("--log-level", "debug", FLAMINGOLIFT_LOG_LEVEL="loud").exit_code == 0
    )
