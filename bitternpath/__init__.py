"""bitternpath: the decisions of a dispatcher that pushes jobs to workers."""

from bitternpath.brain import Dispatcher

__all__ = ["Dispatcher"]
