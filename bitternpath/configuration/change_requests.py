"""Configuration changes as sent by operators."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from bitternpath.configuration.errors import InvalidBaseVersionError

DIGEST_BYTES = 24  # of BLAKE2b: long enough to rule out collisions; replicated with each change


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """A change as the operator sent it, before decoding.

    Attributes:
        method: PUT (a complete configuration) or PATCH.
        if_match: the `If-Match` header as received; empty if there was none.
        body: JSON.
    """

    method: str
    if_match: str
    body: bytes

    def base_version(self) -> int:
        """The version that the change is based on; 0 without `If-Match`.

        Raises:
            InvalidBaseVersionError: the header isn't a version number.
        """
        text = self.if_match.strip().strip('"')
        if not text:
            return 0
        if not (text.isascii() and text.isdigit()):
            raise InvalidBaseVersionError(text)
        try:
            return int(text)
        except ValueError as error:  # exceeds Python's limit of digits
            raise InvalidBaseVersionError(text) from error

    def digest(self) -> bytes:
        """Identifies the request: equal for a retry, different for any other change.

        Different spellings of the same `If-Match` version have the same digest. Bodies are compared byte for
        byte, since operators retry with an unchanged request.
        """
        try:
            base = str(self.base_version())
        except InvalidBaseVersionError:
            base = self.if_match
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for part in (self.method.encode(), base.encode(), self.body):
            digest.update(len(part).to_bytes(8, "big"))
            digest.update(part)
        return digest.digest()
