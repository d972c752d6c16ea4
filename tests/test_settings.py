"""The operators' settings, the command line, and log formatting."""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import msgspec
import pytest
import structlog
from rig import SETTINGS

from bitternpath.balancer.config import logs
from bitternpath.balancer.config.load import load_all
from bitternpath.balancer.config.operator import (
    Operator,
    changes_requiring_restart,
    environment_variable,
    flag_name,
    read_settings,
    setting_keys,
)
from bitternpath.balancer.config.passwords import DUMMY_HASH, hash_password, verify_password
from bitternpath.balancer.config.platform import ConfigError

ROOT = Path(__file__).parent.parent
CONFIG: dict[str, Any] = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "settings": SETTINGS}


def command(*arguments: str, **more: Any) -> subprocess.CompletedProcess[str]:
    env = {k: v for k, v in os.environ.items() if not k.startswith(("PROXY_", "BITTERNPATH_"))}
    return subprocess.run(
        [sys.executable, "-m", "bitternpath", *arguments],
        cwd=ROOT, env=env | more.pop("env", {}), capture_output=True, text=True, check=False, **more,
    )  # fmt: skip


def file(path: Path, text: str) -> str:
    path = path / "operator.toml"
    path.write_text(text)
    return str(path)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[amqp", "not TOML"),
        ("[amqp]\nlisen = 'x'", "amqp.lisen = 'x': unknown key; allowed are listen"),
        ("[broker]\nx = 1", "broker = {'x': 1}: unknown key; allowed are log, amqp"),
        ("[amqp]\nlisten = 5", "amqp.listen = 5: allowed is HOST:PORT, or empty"),
        ("[amqp]\nlisten = 'nowhere'", "amqp.listen = 'nowhere': allowed is HOST:PORT, or empty"),
        ("[amqp]\nheartbeat = -1", "amqp.heartbeat = -1: allowed is a whole number from 0 to 3600"),
        ("[amqp]\nheartbeat = '60'", "amqp.heartbeat = '60': allowed is a whole number from 0 to 3600"),
        ("[amqp]\nframe_max = 99", "amqp.frame_max = 99: allowed is a whole number from 4096 to 1048576"),
        ("[amqp]\nvhosts = 'a'", "amqp.vhosts = 'a': allowed is a list of texts"),
        ("[log]\nlevel = 'loud'", "log.level = 'loud': allowed are debug, info, warning, error"),
        (
            "[amqp.users.a]\npassword = 'secret'",
            "amqp.users[...].password: not a hash; `bitternpath user hash`",
        ),
    ],
)
def test_error_in_the_operator_file_is_one_line_with_exit_code_2(
    tmp_path: Path, text: str, message: str
) -> None:
    where = file(tmp_path, text)
    run = command("check-config", "--operator-file", where)
    assert run.returncode == 2 and len(run.stderr.splitlines()) == 1
    assert run.stderr.startswith(f"bitternpath: {where}: {message}") and "secret" not in run.stderr


@pytest.mark.parametrize(
    ("environ", "flags", "message"),
    [
        ({"BITTERNPATH_AMQP_HEARTBEAT": "x"}, {}, "BITTERNPATH_AMQP_HEARTBEAT: 'x': allowed is a whole"),
        ({"BITTERNPATH_AMQP_HEARTBEAT": "-1"}, {}, "BITTERNPATH_AMQP_HEARTBEAT: '-1': allowed is a whole"),
        ({"BITTERNPATH_AMQP_HEARTBAET": "1"}, {}, "environment: BITTERNPATH_AMQP_HEARTBAET = '1': unknown"),
        ({"BITTERNPATH_AMQP_USERS": "{"}, {}, "BITTERNPATH_AMQP_USERS: '{': not JSON"),
        ({}, {"amqp.listen": "h"}, "--amqp-listen: 'h': allowed is HOST:PORT, or empty"),
    ],
)
def test_errors_in_environment_and_flags_name_their_source(
    environ: dict[str, str], flags: dict[str, str], message: str
) -> None:
    with pytest.raises(ConfigError) as fault:
        read_settings(None, environ, flags)
    assert str(fault.value).startswith(message) and "\n" not in str(fault.value)


def test_precedence_of_flag_environment_file_and_default(tmp_path: Path) -> None:
    where = file(tmp_path, "[amqp]\nheartbeat = 1\nchannel_max = 1\nframe_max = 5000\nvhosts = ['/', 'a']")
    environ = {"BITTERNPATH_AMQP_HEARTBEAT": "2", "BITTERNPATH_AMQP_CHANNEL_MAX": "2"}
    effective = read_settings(where, environ, {"amqp.heartbeat": "3"})
    amqp = effective.settings.amqp
    assert (amqp.heartbeat, amqp.channel_max, amqp.frame_max, amqp.subscribers) == (3, 2, 5000, 64)
    expected_origin = {
        "heartbeat": "--amqp-heartbeat",
        "channel_max": "BITTERNPATH_AMQP_CHANNEL_MAX",
        "frame_max": where,
    }
    assert effective.origin == {f"amqp.{key}": origin for key, origin in expected_origin.items()} | {
        "amqp.vhosts": where
    }
    lines = list(effective.lines())
    assert f"amqp.frame_max = 5000 ({where})" in lines and "amqp.subscribers = 64 (default)" in lines


def as_text(value: Any) -> str:
    return ",".join(value) if isinstance(value, list) else json.dumps(value) if value == {} else str(value)


@pytest.mark.parametrize("path", [path for path, _ in setting_keys()])
def test_every_key_can_be_set_by_file_environment_and_flag(path: str) -> None:
    # Guards against a key whose type cannot be converted from text, so that only the file could set it.
    section, _, key = path.partition(".")
    default = as_text(msgspec.to_builtins(Operator())[section][key])
    by_variable, by_flag = (
        read_settings(None, {environment_variable(path): default}, {}),
        read_settings(None, {}, {path: default}),
    )
    assert by_variable.settings == by_flag.settings == Operator()
    assert by_variable.origin == {path: environment_variable(path)} and by_flag.origin == {
        path: flag_name(path)
    }
    assert flag_name(path) in command_help()


_help: list[str] = []


def command_help() -> str:
    if not _help:
        _help.append(command("serve", "--help").stdout)
    return _help[0]


def test_shipped_operator_file_lists_every_key_with_its_default_commented_out() -> None:
    text = (ROOT / "deploy" / "operator.toml").read_text()
    assert tomllib.loads(text) == {}
    named = [ln[1:] for ln in text.splitlines() if ln.startswith("#") and not ln.startswith("# ")]
    shown = tomllib.loads("\n".join(named))
    assert msgspec.convert(shown, Operator) == Operator()
    assert [f"{s}.{k}" for s, table in shown.items() for k in table] == [path for path, _ in setting_keys()]


def test_both_files_must_be_compatible(tmp_path: Path) -> None:
    config = tmp_path / "config.json"
    config.write_text(json.dumps(CONFIG | {"limits": {"sockets": 128}}))

    def fault(**flags: str) -> str:
        with pytest.raises(ConfigError) as error:
            load_all({}, str(config), None, {f"amqp.{key}": text for key, text in flags.items()})
        return str(error.value)

    assert "at most 64 is allowed" in fault(listen="127.0.0.1:0", max_connections="65")
    assert "allowed are lookup, reminder" in fault(
        listen="127.0.0.1:0", max_connections="64", requeue_unstarted="lookup,remainder"
    )
    assert "not an address" in fault(listen="127.0.0.1:99999", max_connections="64")
    assert load_all({}, str(config), None, {}).operator.settings == Operator()


def test_reload_reports_changes_that_need_a_restart() -> None:
    def settings(**flags: str) -> Operator:
        return read_settings(None, {}, {key.replace("__", "."): text for key, text in flags.items()}).settings

    before = settings(amqp__listen="h:1")
    assert changes_requiring_restart(before, settings(amqp__listen="h:1", amqp__heartbeat="5")) == []
    now = settings(amqp__listen="h:2", log__level="error")
    assert changes_requiring_restart(before, now) == ["log.level", "amqp.listen"]


def test_the_command_line(tmp_path: Path) -> None:
    config = tmp_path / "config.json"
    config.write_text(json.dumps(CONFIG))
    shown = command("check-config", "--config", str(config), "--amqp-heartbeat", "7")
    assert shown.returncode == 0 and "amqp.heartbeat = 7 (--amqp-heartbeat)" in shown.stdout
    assert command("nothing-of-the-kind").returncode == 2
    assert command("serve", "--nothing-of-the-kind").returncode == 2
    top = command("--help")
    assert top.returncode == 0 and "Exit codes:" in top.stdout and "bitternpath serve --config" in top.stdout
    for sub in ("serve", "check-config", "user hash"):
        assert "Examples:" in command(*sub.split(), "--help").stdout
    assert "_BITTERNPATH_COMPLETE" in command("completion", "bash").stdout
    result = command("completion", "zsh", env={"_BITTERNPATH_COMPLETE": "zsh_source"})
    assert result.returncode == 0 and "bitternpath" in result.stdout


def test_password_hash_of_the_command_works_in_the_file(tmp_path: Path) -> None:
    result = command("user", "hash", 'a "b"', input="pass word\n")
    where = file(tmp_path, result.stdout)
    user = read_settings(where, {}, {}).settings.amqp.users['a "b"']
    assert verify_password(b"pass word", user.password) and not verify_password(b"pass word ", user.password)
    assert hash_password(b"x") != hash_password(b"x")  # salted
    assert not verify_password(b"", DUMMY_HASH) and not verify_password(
        b"x", "scrypt:3:8:1:" + "00" * 16 + ":" + "00" * 32
    )
    assert command("user", "hash", "a", input="\n").returncode == 2


def rendered(form: str, **more: Any) -> str:
    out = io.StringIO()
    log = structlog.wrap_logger(structlog.PrintLogger(out), logs.processors(form, 50), part="x")
    log.info("it is", plain=1, spaced='a "b"\nc', of=b"bytes", real=0.25, yes=True, **more)
    return out.getvalue()


def test_log_line_has_the_same_fields_in_both_formats() -> None:
    kv, json_event = rendered("kv"), json.loads(rendered("json"))
    assert kv.count("\n") == 1 and ' level=info part=x event="it is" plain=1 spaced="a \\"b\\"\\nc"' in kv
    assert list(json_event) == ["part", "plain", "spaced", "of", "real", "yes", "event", "at", "level"]
    assert {pair.split("=")[0] for pair in kv.replace('"it is"', "x").replace(' \\"b\\"', "").split()} == set(
        json_event
    )
    assert json_event["spaced"] == 'a "b"\nc' and json_event["real"] == 0.2


def test_log_line_of_an_exception_has_the_traceback() -> None:
    out = io.StringIO()
    log = structlog.wrap_logger(structlog.PrintLogger(out), logs.processors("json", 50))
    try:
        raise ValueError("why")
    except ValueError:
        log.exception("failed")
    line = json.loads(out.getvalue())
    assert line["level"] == "error" and "ValueError: why" in line["trace"]


def test_rate_limit_of_log_lines_per_event() -> None:
    # Guards against a peer that fills the log by sending garbage, or hides other events that way.
    now = [5.0]
    rate_limiter = logs.RateLimiter(3, lambda: now[0])
    passed = 0
    for _ in range(10):
        try:
            rate_limiter(None, "warning", {"event": "rubbish"})
            passed += 1
        except structlog.DropEvent:
            pass
    assert passed == 3 and rate_limiter(None, "warning", {"event": "other"}) == {"event": "other"}
    now[0] = 6.0
    assert rate_limiter(None, "warning", {"event": "rubbish"}) == {"event": "rubbish", "left_out": 7}
    assert rate_limiter(None, "warning", {"event": "rubbish"}) == {"event": "rubbish"}
