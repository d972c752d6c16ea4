"""State machine of limited size and no-op listener for replica groups under test."""

from __future__ import annotations

from collections import deque

import msgspec

from bitternpath.replication.records import RoleChangeCause


class LastCommands:
    """`replication.interfaces.StateMachine` whose state is the last `number` commands."""

    def __init__(self, number: int) -> None:
        self.commands: deque[bytes] = deque(maxlen=number)

    def apply(self, index: int, command: bytes) -> object:
        self.commands.append(command)
        return None

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(list(self.commands))

    def restore(self, data: bytes) -> None:
        self.commands.extend(msgspec.msgpack.decode(data, type=list[bytes]))


class NoOpListener:
    """`replication.interfaces.GroupListener` that does nothing."""

    def became_owner(self, epoch: int) -> None: ...

    def lost_ownership(self, cause: RoleChangeCause) -> None: ...

    def applied(self, index: int, command: bytes, result: object) -> None: ...
