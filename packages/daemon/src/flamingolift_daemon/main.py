"""Command line of the instance's daemon."""

import asyncio
import sys

import click
from flamingolift_model import RESULT_CODE_INFO, Fault, ResultCode, from_plain
from flamingolift_model.record import MISSING
from flamingolift_model.settings import Settings
from flamingolift_wire.keys import parse_key_ring

from flamingolift_daemon.logs import configure_logs
from flamingolift_daemon.wiring import run_instance

__all__ = ["main", "read_settings"]

ENV_PREFIX = "FLAMINGOLIFT_"


def read_settings(values):
    """Builds the settings from flags and environment variables.

    Args:
        values: Map of setting name to text, None where it was not given.

    Returns:
        Tuple of the Settings, or None, and the list of all Faults.
    """
    plain, faults = {}, []
    for field in Settings.FIELDS:
        text = values.get(field.name)
        if text is None:
            if field.default is MISSING:
                faults.append(_fault(field, "is required"))
            continue
        try:
            plain[field.name] = _convert(field.type, text)
        except ValueError:
            faults.append(_fault(field, f"must be of type {field.type}"))
    built = from_plain(Settings, {**_placeholders(faults), **plain})
    if built.is_error():
        faults += [_rename(fault) for fault in built.error]
        return None, _without_repeats(faults)
    for name in ("peer_keys", "ticket_keys", "operator_keys"):
        ring = parse_key_ring(getattr(built.ok, name))
        if ring.is_error() and name in plain:
            faults.append(_fault_named(name, ring.error.detail))
    return (None if faults else built.ok), faults


def _convert(type_name, text):
    converters = {"int": int, "float": float, "str": str}
    return converters[type_name](text)


def _placeholders(faults):
    """Returns values for fields already found faulty, to check the others."""
    faulty = {fault.detail.split(" ", 1)[0].removeprefix("--") for fault in faults}
    return {
        field.name: {"int": 1, "float": 1.0, "str": "placeholder"}[field.type]
        for field in Settings.FIELDS
        if field.name.replace("_", "-") in faulty and field.default is MISSING
    }


def _fault(field, text):
    return _fault_named(field.name, text)


def _fault_named(name, text):
    flag = name.replace("_", "-")
    variable = ENV_PREFIX + name.upper()
    return Fault(ResultCode.SETTING_INVALID, f"--{flag} ({variable}) {text}")


def _rename(fault):
    """Turns a schema fault about a field into one about a flag."""
    name, _, text = fault.detail.partition(": ")
    return _fault_named(name, text)


def _without_repeats(faults):
    seen = {}
    for fault in faults:
        seen.setdefault(fault.detail.split(" ", 1)[0], fault)
    return list(seen.values())


def _add_options(command):
    """Adds an option for each field of the settings' schema."""
    docs = dict(_field_docs())
    for field in reversed(Settings.FIELDS):
        default = "" if field.default is MISSING else f" [default: {field.default}]"
        if field.default == "":
            default = ""
        option = click.option(
            "--" + field.name.replace("_", "-"),
            field.name,
            metavar=field.type.upper(),
            envvar=ENV_PREFIX + field.name.upper(),
            help=docs.get(field.name, "") + default,
        )
        command = option(command)
    return command


def _field_docs():
    """Yields (field, sentence) from the attributes in the class's docstring."""
    for line in (Settings.__doc__ or "").splitlines():
        name, colon, text = line.strip().partition(": ")
        if colon:
            yield name, text


@click.command(
    help="Runs one entry instance of flamingolift.",
    epilog="Example: flamingoliftd --instance-id accra-1 --region greater-accra "
    "--failure-domain accra-central --caller-port 8080 --operator-port 8081 "
    "--peer-port 8082 --store-url http://127.0.0.1:9000, with the keys in the "
    "environment.",
)
@click.option("--check", is_flag=True, help="Checks the settings and exits.")
@click.version_option(package_name="flamingolift-daemon")
@_add_options
def main(check, **values):
    """Runs one entry instance."""
    cfg, faults = read_settings(values)
    if faults:
        for fault in faults:
            click.echo(
                f"{fault.code.value} {fault.code.name}: {fault.detail}", err=True
            )
        sys.exit(RESULT_CODE_INFO[ResultCode.SETTING_INVALID].exit_status)
    if check:
        click.echo("settings are valid")
        return
    configure_logs(cfg.log_level, cfg.instance_id)
    asyncio.run(run_instance(cfg))
    sys.stdout.flush()


if __name__ == "__main__":
    main()
