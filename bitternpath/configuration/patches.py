"""Patches of a configuration document (PROTOCOL, "PATCH /config").

A patch lists items to add or replace (`upsert`) and names to remove (`remove`), by section. Sections that
are objects, such as `limits`, are updated key by key.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from bitternpath.configuration.errors import InvalidConfigurationError
from bitternpath.configuration.validation import section_items


def apply_patch(base: Mapping[str, Any], patch: Mapping[str, Any]) -> dict[str, Any]:
    """Apply a patch to a copy of `base`. The result isn't validated yet.

    Raises:
        InvalidConfigurationError: the patch is malformed, or a section can't be patched.
    """
    patched = dict(base)
    patched["version"] = patch.get("version")
    upsert = patch.get("upsert", {})
    remove = patch.get("remove", {})
    if not isinstance(upsert, dict) or not isinstance(remove, dict):
        raise InvalidConfigurationError("upsert, remove: must be objects")
    for section in dict.fromkeys([*upsert, *remove]):
        patched[section] = _patched_section(patched, section, upsert.get(section), remove.get(section))
    return patched


def _patched_section(document: Mapping[str, Any], section: str, upsert: object, remove: object) -> object:
    current = document.get(section, {})
    if isinstance(upsert, dict) and remove is None and isinstance(current, dict):
        return {**current, **upsert}
    names_to_remove = _names_to_remove(section, remove)
    items = {_item_name(section, item): item for item in section_items(document, section)}
    for name in names_to_remove:
        items.pop(name, None)
    if upsert is not None and not isinstance(upsert, list):
        raise InvalidConfigurationError(f"upsert.{section}: must be a list")
    for item in upsert or ():
        if not isinstance(item, dict) or not isinstance(item.get("name"), str):
            raise InvalidConfigurationError(f"upsert.{section}: each item needs a name")
        items[item["name"]] = item
    return list(items.values())


def _names_to_remove(section: str, remove: object) -> list[str]:
    if remove is None:
        return []
    if not isinstance(remove, list) or not all(isinstance(name, str) for name in remove):
        raise InvalidConfigurationError(f"remove.{section}: must be a list of names")
    return remove


def _item_name(section: str, item: Mapping[str, Any]) -> str:
    name = item.get("name")
    if not isinstance(name, str):
        raise InvalidConfigurationError(f"{section}: has items without a name, which a patch can't alter")
    return name
