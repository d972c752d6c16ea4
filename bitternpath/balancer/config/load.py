"""Loads both configuration files; an error in either rejects both."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from bitternpath.balancer.config import platform
from bitternpath.balancer.config.operator import EffectiveSettings, read_settings
from bitternpath.balancer.config.platform import Config, ConfigError

MIN_SOCKETS = 64  # sockets that must remain besides those of AMQP connections


@dataclass(slots=True, frozen=True)
class Loaded:
    """The configuration in use."""

    platform: Config
    operator: EffectiveSettings


def load_all(
    environ: Mapping[str, str], config: str | None, operator_file: str | None, flags: Mapping[str, str]
) -> Loaded:
    """Read both files; raises ConfigError for the first error."""
    operator = read_settings(operator_file, environ, flags)
    return _check_compatible(Loaded(platform.load(environ, config), operator))


def reload_all(
    running: Loaded,
    environ: Mapping[str, str],
    config: str | None,
    operator_file: str | None,
    flags: Mapping[str, str],
) -> Loaded:
    """Read both files again while `running` is in use."""
    operator = read_settings(operator_file, environ, flags)
    return _check_compatible(Loaded(platform.reload(running.platform, environ, config), operator))


def _check_compatible(loaded: Loaded) -> Loaded:
    """Check the values of each file against the other file."""
    amqp, node_config = loaded.operator.settings.amqp, loaded.platform
    if not amqp.listen:
        return loaded
    try:
        platform.address(amqp.listen)
    except ValueError as error:
        source = loaded.operator.origin["amqp.listen"]
        raise ConfigError(f"{source}: amqp.listen = {amqp.listen!r}: {error}") from error
    class_names = [c.name for c in node_config.settings.classes]
    for name in amqp.requeue_unstarted:
        if name not in class_names:
            source = loaded.operator.origin["amqp.requeue_unstarted"]
            raise ConfigError(
                f"{source}: amqp.requeue_unstarted = {name!r}: no such class; "
                f"allowed are {', '.join(class_names)}"
            )
    if node_config.sockets - amqp.max_connections < MIN_SOCKETS:
        source = loaded.operator.origin.get("amqp.max_connections", "default")
        raise ConfigError(
            f"{source}: amqp.max_connections = {amqp.max_connections}: limits.sockets is "
            f"{node_config.sockets} and {MIN_SOCKETS} must be left; "
            f"at most {max(node_config.sockets - MIN_SOCKETS, 0)} is allowed"
        )
    return loaded
