"""Typed constructors for Twisted's errors and failures."""

from __future__ import annotations

import errno
import os
from typing import Any

from twisted.internet import error
from twisted.python.failure import Failure

_failure: Any = Failure
_timed_out: Any = error.TimeoutError
_refused: Any = error.ConnectionRefusedError
_connect_cancelled: Any = error.UserError
_cannot_listen: Any = error.CannotListenError


def failure(reason: BaseException | None = None) -> Failure:
    """A failure of `reason`, or of the exception that is being handled."""
    result: Failure = _failure(reason)
    return result


def timed_out() -> Exception:
    """The peer did not answer in time."""
    result: Exception = _timed_out()
    return result


def refused() -> Exception:
    """No process listens on the port."""
    result: Exception = _refused()
    return result


def connect_cancelled() -> Exception:
    """The caller cancelled the connection attempt."""
    result: Exception = _connect_cancelled()
    return result


def port_in_use(interface: str, port: int) -> Exception:
    """Another process listens on the port."""
    cause = OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
    result: Exception = _cannot_listen(interface, port, cause)
    return result
