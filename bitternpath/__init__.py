"""bitternpath: a dispatcher that pushes jobs to workers, and the node round it."""

from bitternpath.dispatch.dispatcher import Dispatcher

__all__ = ["Dispatcher", "__version__"]
__version__ = "0.1.0"
