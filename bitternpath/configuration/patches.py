"""Patches of a configuration document (PROTOCOL, "PATCH /config")."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from bitternpath.configuration.errors import InvalidConfiguration
from bitternpath.configuration.validation import _list


def apply_patch(base: Mapping[str, Any], patch: Mapping[str, Any]) -> dict[str, Any]:
    """The document that a patch makes of `base`, not checked yet; raises `InvalidConfiguration`."""
    result = dict(base)
    result["version"] = patch.get("version")
    upsert, remove = patch.get("upsert", {}), patch.get("remove", {})
    if not isinstance(upsert, dict) or not isinstance(remove, dict):
        raise InvalidConfiguration("upsert, remove: must be objects")
    for section in dict.fromkeys([*upsert, *remove]):
        _patch_section(result, section, upsert.get(section), remove.get(section))
    return result


def _patch_section(result: dict[str, Any], section: str, upsert: Any, remove: Any) -> None:
    if isinstance(upsert, dict) and remove is None and isinstance(result.get(section, {}), dict):
        result[section] = {**result.get(section, {}), **upsert}
        return
    if remove is not None and not (isinstance(remove, list) and all(isinstance(n, str) for n in remove)):
        raise InvalidConfiguration(f"remove.{section}: must be a list of names")
    items = {_name(section, item): item for item in _list(result, section)}
    for name in remove or ():
        items.pop(name, None)
    if upsert is not None and not isinstance(upsert, list):
        raise InvalidConfiguration(f"upsert.{section}: must be a list")
    for item in upsert or ():
        if not isinstance(item, dict) or not isinstance(item.get("name"), str):
            raise InvalidConfiguration(f"upsert.{section}: each item needs a name")
        items[item["name"]] = item
    result[section] = list(items.values())


def _name(section: str, item: Mapping[str, Any]) -> str:
    name = item.get("name")
    if not isinstance(name, str):
        raise InvalidConfiguration(f"{section}: has items without a name, which a patch can't alter")
    return name
