"""Errors of the transport package: one tree; each class says whose fault it is and if a retry helps."""

from __future__ import annotations


class TransportError(Exception):
    """Base of all errors that this package raises."""


class CodecError(TransportError, ValueError):
    """Bytes that don't encode a record, or a class that can't be a record.

    Of received bytes: the peer is of another revision, or no node of the system. Of stored bytes: the file is
    damaged. Decoding the same bytes again doesn't help.
    """


class LinkLostError(TransportError):
    """The link closed before the response came, or was closed when the request was made.

    Nobody's fault. The peer may have received the request and acted on it (outcome unknown); a retry needs
    another link.
    """
