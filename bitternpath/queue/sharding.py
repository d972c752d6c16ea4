"""Which shard keeps a message, and the identifiers that name the shard again later."""

from __future__ import annotations

import re
from hashlib import blake2b

MAX_MESSAGE_ID_LENGTH = 64  # characters (PROTOCOL, "Messages")

_ALLOWED = re.compile(r"[A-Za-z0-9._-]+\Z")
_MESSAGE_ID = re.compile(r"s([0-9]{1,6})\.(.+)\Z", re.ASCII | re.DOTALL)
_LEASE_ID = re.compile(r"([0-9]{1,6})-([0-9]+)-([0-9]+)\Z", re.ASCII)


def shard_for(order_key: str, preferred: int, shard_count: int) -> int:
    """Return the shard of a new message: by its order key alone where it has one, else the preferred one.

    The route takes no part, since a route may move to another service while messages of a key wait.
    """
    return _shard_by_hash(order_key, shard_count) if order_key else preferred % shard_count


def home_shard(service: str, shard_count: int) -> int:
    """Return the shard whose owner holds the pool of a rate-limited service's tokens."""
    return _shard_by_hash(service, shard_count)


def _shard_by_hash(text: str, shard_count: int) -> int:
    digest = blake2b(text.encode("utf-8", "surrogatepass"), digest_size=8).digest()
    return int.from_bytes(digest, "big") % shard_count


def message_id(shard: int, request_id: str) -> str:
    """Return the name of a message for clients: `s<shard>.<request id>`.

    Where that would be longer than 64 characters, or the request id has a character outside letters, digits,
    `-_.`, the request id itself is returned: such a message must not be named to the client (no
    `X-Message-Id`), is asked for by its request id, and is searched for in all shards.
    """
    text = f"s{shard}.{request_id}"
    return text if request_id and is_valid_message_id(text) else request_id


def is_valid_message_id(text: str) -> bool:
    """Whether a text may be given to a client as the name of its message."""
    return len(text) <= MAX_MESSAGE_ID_LENGTH and _ALLOWED.match(text) is not None


def split_message_id(text: str) -> tuple[int | None, str]:
    """Return shard and request id of a message's name; the shard is None where the text is a bare request id.

    A bare request id that happens to have the form of a name yields a shard that doesn't know the rest:
    callers then search for the complete text in all shards.
    """
    found = _MESSAGE_ID.match(text)
    if found is None:
        return None, text
    return int(found[1]), found[2]


def lease_id(shard: int, epoch: int, counter: int) -> str:
    """Return the identifier of a lease, unique over shards and owners: an epoch has one owner, who counts."""
    return f"{shard}-{epoch}-{counter}"


def shard_of_lease(text: str) -> int | None:
    """Return the shard that granted a lease; None where the text is no lease identifier."""
    found = _LEASE_ID.match(text)
    return None if found is None else int(found[1])


class LeaseIdSequence:
    """Draws the lease identifiers of one owner of a shard."""

    def __init__(self, shard: int) -> None:
        """Begin in epoch 0; the owner sets `epoch` before it grants a lease."""
        self.epoch = 0
        self._shard = shard
        self._counter = 0

    def next(self) -> str:
        """Return an identifier that no lease has had."""
        self._counter += 1
        return lease_id(self._shard, self.epoch, self._counter)
