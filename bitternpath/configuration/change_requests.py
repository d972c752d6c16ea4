"""Changes of the configuration as operators send them."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from bitternpath.configuration.errors import InvalidBaseVersionError

DIGEST_BYTES = 24  # of BLAKE2b: long enough that two requests never collide; replicated with each change


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """A change as the operator sent it, not decoded yet.

    Attributes:
        method: PUT (a complete configuration) or PATCH.
        if_match: the header of that name as it came, empty where there was none.
        body: JSON.
    """

    method: str
    if_match: str
    body: bytes

    def base_version(self) -> int:
        """The version that the change builds on; 0 without `If-Match`.

        Raises:
            InvalidBaseVersionError: the header is no version number.
        """
        text = self.if_match.strip().strip('"')
        if not text:
            return 0
        if not (text.isascii() and text.isdigit()):
            raise InvalidBaseVersionError(text)
        try:
            return int(text)
        except ValueError as error:  # more digits than Python converts
            raise InvalidBaseVersionError(text) from error

    def digest(self) -> bytes:
        """Identifies the request: the same for a retry, another one for any other change.

        Spellings of the same `If-Match` give one digest. Bodies are compared byte for byte, as operators
        send a request again unchanged.
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
