"""Changes of the configuration as operators send them."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """A change as the operator sent it."""

    method: str  # PUT or PATCH
    if_match: str
    body: bytes

    def base_version(self) -> int:
        """The version that it builds on; raises `ValueError`."""
        text = self.if_match.strip().strip('"')
        if not text:
            return 0
        if not (text.isascii() and text.isdigit()):
            raise ValueError(text)
        return int(text)

    def digest(self) -> bytes:
        """Tells this order apart from all others. Spellings of the same `If-Match` don't differ; bodies are
        compared byte for byte, as an order is sent again unchanged."""
        try:
            base = str(self.base_version())
        except ValueError:
            base = self.if_match
        summed = hashlib.blake2b(digest_size=24)
        for part in (self.method.encode(), base.encode(), self.body):
            summed.update(len(part).to_bytes(8, "big"))
            summed.update(part)
        return summed.digest()
