"""Reads scenario files: TOML, validated against types, bounds and cross-references."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from bitternpath.testing.emulator.scenario import MAX_REQUESTS, Scenario, ScenarioError
from bitternpath.testing.emulator.troubles.fleet import FLEET_KINDS
from bitternpath.testing.emulator.troubles.register import KINDS


def load(path: str | Path) -> Scenario:
    """Reads a scenario; ScenarioError names the file, the key and the allowed values."""
    try:
        values = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from error
    except ValueError as error:
        raise ScenarioError(f"{path}: not TOML: {' '.join(str(error).split())}") from error
    return scenario_from(values, str(path))


def scenario_from(values: dict[str, Any], source: str) -> Scenario:
    """Converts plain values to a validated scenario."""
    try:
        scenario = msgspec.convert(values, Scenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(
            f"{source}: {str(error).replace(' - at `$.', ', at `').replace('`$`', 'the top')}"
        ) from error
    names = [site.name for site in scenario.sites]
    for fault in scenario.troubles:
        if fault.kind not in KINDS:
            raise ScenarioError(
                f"{source}: troubles: kind {fault.kind!r}; allowed are {', '.join(sorted(KINDS))}"
            )
        if fault.kind in FLEET_KINDS and not scenario.fleet.stewards:
            raise ScenarioError(f"{source}: troubles: kind {fault.kind!r} needs fleet.stewards")
        for site in (fault.site, fault.other):
            if site and site not in names:
                raise ScenarioError(f"{source}: troubles: site {site!r}; allowed are {', '.join(names)}")
    if not sum(site.workers for site in scenario.sites):
        raise ScenarioError(f"{source}: sites: no workers")
    if not sum(site.nodes for site in scenario.sites):
        raise ScenarioError(f"{source}: sites: no nodes")
    if scenario.clients.rate * scenario.seconds > MAX_REQUESTS:
        raise ScenarioError(f"{source}: clients.rate: at most {MAX_REQUESTS} first requests are allowed")
    return scenario
