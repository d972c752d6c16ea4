"""The platform's configuration of a node: a JSON file and PROXY_ environment variables."""

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


CHECKED_SECTIONS = ("allowed", "rules")  # objects in the settings whose keys are required on reload
OPTIONAL_KEYS = ("known",)  # initial endpoint list, not required on reload


class ConfigError(Exception):
    """An invalid configuration; the message is one line."""


@dataclass(slots=True, frozen=True)
class Config:
    """The validated values of the platform's file and the PROXY_ variables."""

    name: str
    listen: Address
    discovery: Address
    discovery_in_file: Address | None  # overridden by PROXY_DISCOVERY at startup
    seed: int
    sockets: int
    known: Listing
    settings: m.Settings
    dial_timeout: float  # ms
    idle_timeout: float  # ms after which an endpoint closes an idle connection
    console: Address | None = None  # address of the operators' console; None: no console
    keys: frozenset[str] = frozenset()  # paths of the keys in the file


def address(text: str) -> Address:
    """Parse `host:port`, with an IPv6 host in brackets; raises ValueError."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host.strip("[]"), int(port)


def load(environ: Mapping[str, str], path: str | None = None) -> Config:
    """Read the file at `path` or PROXY_CONFIG; the other PROXY_ variables override its values."""
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
    """Read the file again. A changed discovery address overrides PROXY_DISCOVERY, which applies at startup.

    A file without a key that the file in use has is taken for truncated and rejected, even if the environment
    or a default would replace the key.
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
    """Raise ValueError unless the value is a positive finite number and not a boolean."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < inf:
        raise ValueError(f"{name}: must be a number above 0, not {value!r:.40}")


def _required_keys(document: dict[str, Any]) -> frozenset[str]:
    """The key paths that a reloaded file must have too: top level, `settings`, and each class."""
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
