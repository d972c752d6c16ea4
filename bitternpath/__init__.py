"""bitternpath: a dispatcher that pushes jobs to workers, and the node round it."""

from typing import Any

__all__ = ["Dispatcher", "__version__"]
__version__ = "0.1.0"


def __getattr__(name: str) -> Any:
    """`Dispatcher`, loaded when it is asked for: most processes of the system do without it."""
    if name != "Dispatcher":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from bitternpath.balancer.dispatch.dispatcher import Dispatcher

    return Dispatcher
