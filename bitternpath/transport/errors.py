"""Errors of the transport package: each class documents its cause and whether a retry helps."""

from __future__ import annotations


class TransportError(Exception):
    """Base of all errors that this package raises."""


class CodecError(TransportError, ValueError):
    """Bytes that don't encode a record, or a class that can't be a record.

    For received bytes, the peer runs another revision or is no node of the system. For stored bytes, the file
    is damaged. Decoding the same bytes again doesn't help.
    """


class LinkLostError(TransportError):
    """The link closed before the response arrived, or was already closed when the request was made.

    This isn't a fault. The peer may have received the request and acted on it (outcome unknown); a retry
    needs another link.
    """
