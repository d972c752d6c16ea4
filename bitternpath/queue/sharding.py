"""The shard of a message, and message and lease identifiers that contain the shard's number."""

from __future__ import annotations

import re
from hashlib import blake2b

MAX_MESSAGE_ID_LENGTH = 64  # characters (PROTOCOL, "Messages")

_ALLOWED = re.compile(r"[A-Za-z0-9._-]+\Z")
_MESSAGE_ID = re.compile(r"s([0-9]{1,6})\.(.+)\Z", re.ASCII | re.DOTALL)
_LEASE_ID = re.compile(r"([0-9]{1,6})-([0-9]+)-([0-9]+)\Z", re.ASCII)


def shard_for(order_key: str, preferred: int, shard_count: int) -> int:
    """Return the shard of a new message: determined by its order key if it has one, else the preferred one.

    The route is not considered, since it may move to another service while messages of a key are queued.
    """
    return _shard_by_hash(order_key, shard_count) if order_key else preferred % shard_count


def home_shard(service: str, shard_count: int) -> int:
    """Return the shard whose owner has the token pool of a rate-limited service."""
    return _shard_by_hash(service, shard_count)


def _shard_by_hash(text: str, shard_count: int) -> int:
    digest = blake2b(text.encode("utf-8", "surrogatepass"), digest_size=8).digest()
    return int.from_bytes(digest, "big") % shard_count


def message_id(shard: int, request_id: str) -> str:
    """Return the message id for clients: `s<shard>.<request id>`.

    If that is longer than 64 characters, or the request id contains characters other than letters, digits and
    `-_.`, the request id itself is returned. Such a message gets no `X-Message-Id`; clients query it by its
    request id, which is looked up in all shards.
    """
    text = f"s{shard}.{request_id}"
    return text if request_id and is_valid_message_id(text) else request_id


def is_valid_message_id(text: str) -> bool:
    """Whether a text may be sent to a client as a message id."""
    return len(text) <= MAX_MESSAGE_ID_LENGTH and _ALLOWED.match(text) is not None


def split_message_id(text: str) -> tuple[int | None, str]:
    """Return the shard and the request id of a message id; the shard is None for a plain request id.

    A plain request id that happens to look like a message id yields a shard that does not know the remainder;
    callers then look up the complete text in all shards.
    """
    match = _MESSAGE_ID.match(text)
    if match is None:
        return None, text
    return int(match[1]), match[2]


def lease_id(shard: int, epoch: int, counter: int) -> str:
    """Return a lease id, unique over shards and owners: each epoch has one owner, which counts its leases."""
    return f"{shard}-{epoch}-{counter}"


def shard_of_lease(text: str) -> int | None:
    """Return the shard that granted a lease, or None if the text is not a lease id."""
    match = _LEASE_ID.match(text)
    return None if match is None else int(match[1])


class LeaseIdSequence:
    """Generates the lease ids of one owner of a shard."""

    def __init__(self, shard: int) -> None:
        """Start in epoch 0; the owner sets `epoch` before it grants a lease."""
        self.epoch = 0
        self._shard = shard
        self._counter = 0

    def next(self) -> str:
        """Return an unused lease id."""
        self._counter += 1
        return lease_id(self._shard, self.epoch, self._counter)
