"""Options that several commands share, one for each key of the operator file."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import click

from bitternpath.balancer.config.operator import environment_variable, flag_name, key_metadata, setting_keys


def operator_options(function: Callable[..., Any]) -> Callable[..., Any]:
    """Add `--operator-file` and the flags of the sections `log` and `fleet`, for the fleet commands."""
    return _options(function, ("log", "fleet"))


def settings_options(function: Callable[..., Any]) -> Callable[..., Any]:
    """Add `--config`, `--operator-file` and a flag for every key.

    They are passed as `config`, `operator_file` and the key with two underscores for each dot.
    """
    function = _options(function, None)
    return click.option(
        "--config", metavar="FILE", help="the platform's JSON file; default: that in PROXY_CONFIG"
    )(function)


def _options(function: Callable[..., Any], sections: tuple[str, ...] | None) -> Callable[..., Any]:
    for path, hint in reversed(list(setting_keys())):
        if sections is not None and path.partition(".")[0] not in sections:
            continue
        function = click.option(
            flag_name(path),
            path.replace(".", "__"),
            metavar="VALUE",
            default=None,
            help=f"{key_metadata(hint).description} [{environment_variable(path)}]",
        )(function)
    return click.option(
        "--operator-file",
        metavar="FILE",
        help="the operators' TOML file; default: that in BITTERNPATH_OPERATOR_FILE",
    )(function)


def given_flags(flags: dict[str, str | None]) -> dict[str, str]:
    """Return the values of the flags on the command line, by key."""
    return {name.replace("__", "."): text for name, text in flags.items() if text is not None}
