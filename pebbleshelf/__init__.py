"""pebbleshelf: the decisions of a dispatcher that pushes jobs to workers."""

from pebbleshelf.brain import Dispatcher

__all__ = ["Dispatcher"]
