"""What a node is told at its start: a JSON file and the environment."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from math import inf
from pathlib import Path
from typing import Any

import ujson

from bitternpath.balancer import messages as m
from bitternpath.balancer.core.endpoint_registry import Listing
from bitternpath.balancer.http.discovery_messages import listing_from
from bitternpath.balancer.settings import settings_from

Address = tuple[str, int]


CHECKED_SECTIONS = ("allowed", "rules")  # of the settings: objects of which every key counts
OPTIONAL_KEYS = ("known",)  # what the node once held: a file for a running node need not have it


class ConfigError(Exception):
    """The configuration cannot be used; the text says why, in one line."""


@dataclass(slots=True, frozen=True)
class Config:
    """What the platform's file and the PROXY_ variables say, checked."""

    name: str
    listen: Address
    discovery: Address
    discovery_in_file: Address | None  # which PROXY_DISCOVERY wins over at the start
    seed: int
    sockets: int
    known: Listing
    settings: m.Settings
    dial_timeout: float  # ms
    idle_timeout: float  # ms after which an endpoint closes an idle connection
    console: Address | None = None  # where operators call; None: nowhere
    keys: frozenset[str] = frozenset()  # that the file had, as paths


def address(text: str) -> Address:
    """Read `host:port`, an IPv6 host in brackets; ValueError where it isn't one."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host.strip("[]"), int(port)


def load(environ: Mapping[str, str], path: str | None = None) -> Config:
    """Read the file that `path` or PROXY_CONFIG names; the other PROXY_ variables win over its values."""
    path = path or environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("no configuration: set PROXY_CONFIG or give --config")
    try:
        document = ujson.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except ValueError as error:
        raise ConfigError(f"{path}: not JSON: {error}") from error
    try:
        return _config(document, environ)
    except KeyError as error:
        raise ConfigError(f"{path}: {error.args[0]} is missing") from error
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        raise ConfigError(f"{path}: {' '.join(str(error).split())}") from error


def reload(running: Config, environ: Mapping[str, str], path: str | None = None) -> Config:
    """Read the file again. PROXY_DISCOVERY holds at the start: what the file says anew wins over it.

    A file that lacks a key that the one in use has is cut, not changed, also where the environment or a
    default could stand in for it.
    """
    reloaded = load(environ, path)
    missing_keys = sorted(running.keys - reloaded.keys)
    if missing_keys:
        raise ConfigError(
            f"{path or environ.get('PROXY_CONFIG')}: {missing_keys[0]} is missing; the file in use has it"
        )
    discovery = reloaded.discovery_in_file
    if discovery is None or discovery == running.discovery_in_file:
        discovery = running.discovery
    return replace(reloaded, discovery=discovery)


def _check_positive(name: str, value: Any) -> None:
    """No text, no truth value, not infinite and no NaN."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < inf:
        raise ValueError(f"{name}: must be a number above 0, not {value!r:.40}")


def _required_keys(document: dict[str, Any]) -> frozenset[str]:
    """What every later file has to name as well: all at the top and in `settings`, and in each class."""
    settings = document["settings"]
    settings_keys = [
        *settings,
        *(f"{name}.{key}" for name in CHECKED_SECTIONS for key in settings.get(name) or ()),
    ]
    class_keys = set.intersection(*(set(c) for c in settings["classes"]))
    top_level_keys = [key for key in document if key not in OPTIONAL_KEYS]
    return frozenset(
        [
            *top_level_keys,
            *(f"settings.{key}" for key in settings_keys),
            *(f"settings.classes.{key}" for key in class_keys),
        ]
    )


def _config(document: dict[str, Any], environ: Mapping[str, str]) -> Config:
    settings = document["settings"]
    allowed, limits = settings.get("allowed") or {}, document.get("limits") or {}
    known, discovery_text = document.get("known"), document.get("discovery")
    for job_class in settings["classes"]:
        _check_positive("aim", job_class["aim"])
        _check_positive("giveUp", job_class["giveUp"])
    if "tryLimit" in allowed:
        _check_positive("tryLimit", allowed["tryLimit"])
    discovery_in_file = address(discovery_text) if discovery_text else None
    console = environ.get("PROXY_CONSOLE") or document.get("console")
    config = Config(
        name=str(environ.get("PROXY_NAME") or document.get("name") or "node"),
        listen=address(environ.get("PROXY_LISTEN") or document["listen"]),
        discovery=address(environ.get("PROXY_DISCOVERY") or document["discovery"]),
        discovery_in_file=discovery_in_file,
        seed=int(str(document.get("seed") or "0"), 16),
        sockets=int(limits.get("sockets") or 1024),
        known=listing_from(known) if known else Listing(0, True, ()),
        settings=settings_from(settings),
        dial_timeout=float(allowed.get("dialTimeout") or 1000.0),
        idle_timeout=float(allowed.get("connIdle") or 10_000.0),
        console=address(console) if console else None,
        keys=_required_keys(document),
    )
    if config.sockets < 64:
        raise ValueError(f"limits.sockets: at least 64 are needed, not {config.sockets}")
    if config.dial_timeout < 0 or config.idle_timeout < 0:
        raise ValueError("allowed.dialTimeout and allowed.connIdle must not be negative")
    return config
