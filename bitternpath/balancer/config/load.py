"""Both files together: all or nothing."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from bitternpath.balancer.config import platform
from bitternpath.balancer.config.operator import Effective, read
from bitternpath.balancer.config.platform import Config, ConfigError

LEAST_SOCKETS = 64  # that the limit must leave besides AMQP's


@dataclass(slots=True, frozen=True)
class Loaded:
    """What a node runs with."""

    platform: Config
    operator: Effective


def load_all(
    environ: Mapping[str, str], config: str | None, operator_file: str | None, flags: Mapping[str, str]
) -> Loaded:
    """Read everything; ConfigError names the first fault."""
    operator = read(operator_file, environ, flags)
    return _fit(Loaded(platform.load(environ, config), operator))


def reload_all(
    running: Loaded,
    environ: Mapping[str, str],
    config: str | None,
    operator_file: str | None,
    flags: Mapping[str, str],
) -> Loaded:
    """Read everything again while `running` is in use."""
    operator = read(operator_file, environ, flags)
    return _fit(Loaded(platform.reload(running.platform, environ, config), operator))


def _fit(loaded: Loaded) -> Loaded:
    """What each file allows must also fit the other."""
    amqp, told = loaded.operator.settings.amqp, loaded.platform
    if not amqp.listen:
        return loaded
    try:
        platform.address(amqp.listen)
    except ValueError as error:
        where = loaded.operator.origin["amqp.listen"]
        raise ConfigError(f"{where}: amqp.listen = {amqp.listen!r}: {error}") from error
    names = [c.name for c in told.settings.classes]
    for name in amqp.requeue_unstarted:
        if name not in names:
            where = loaded.operator.origin["amqp.requeue_unstarted"]
            raise ConfigError(
                f"{where}: amqp.requeue_unstarted = {name!r}: no such class; allowed are {', '.join(names)}"
            )
    if told.sockets - amqp.max_connections < LEAST_SOCKETS:
        where = loaded.operator.origin.get("amqp.max_connections", "default")
        raise ConfigError(
            f"{where}: amqp.max_connections = {amqp.max_connections}: limits.sockets is {told.sockets} and "
            f"{LEAST_SOCKETS} must be left; at most {max(told.sockets - LEAST_SOCKETS, 0)} is allowed"
        )
    return loaded
