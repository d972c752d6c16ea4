"""Twisted's errors and failures, made with types."""

from __future__ import annotations

import errno
import os
from typing import Any

from twisted.internet import error
from twisted.python.failure import Failure

_failure: Any = Failure
_timed_out: Any = error.TimeoutError
_refused: Any = error.ConnectionRefusedError
_given_up: Any = error.UserError
_cannot_listen: Any = error.CannotListenError


def failure(reason: BaseException | None = None) -> Failure:
    """A failure of `reason`, or of the exception that is handled now."""
    made: Failure = _failure(reason)
    return made


def timed_out() -> Exception:
    """Nobody answered."""
    made: Exception = _timed_out()
    return made


def refused() -> Exception:
    """No process listens there."""
    made: Exception = _refused()
    return made


def given_up() -> Exception:
    """The caller doesn't want the connection any more."""
    made: Exception = _given_up()
    return made


def port_taken(interface: str, port: int) -> Exception:
    """Another process listens there."""
    cause = OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
    made: Exception = _cannot_listen(interface, port, cause)
    return made
