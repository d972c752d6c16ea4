"""Check for the packages of the optional extra `lab`."""

from __future__ import annotations

from collections.abc import Callable
from functools import wraps
from importlib.util import find_spec
from typing import Any

import click

REQUIRED_PACKAGES = ("hdrh", "rich", "xxhash")


def needs_lab(function: Callable[..., Any]) -> Callable[..., Any]:
    """Raise a usage error (exit status 2) if packages of the extra are missing."""

    @wraps(function)
    def wrapper(*arguments: Any, **keyword_arguments: Any) -> Any:
        missing = [name for name in REQUIRED_PACKAGES if find_spec(name) is None]
        if missing:
            raise click.UsageError(f"{', '.join(missing)} missing: pip install 'bitternpath[lab]'")
        return function(*arguments, **keyword_arguments)

    return wrapper
