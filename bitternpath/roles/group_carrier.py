"""Carries consensus messages between members of replica groups over the node's links."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from bitternpath.membership.bootstrap import member_id
from bitternpath.membership.view import MembershipView
from bitternpath.transport.connections import Link, NodeHub
from bitternpath.transport.group_messages import GroupMessage, MemberAddress

CARRIER_USER = "replication"


class GroupTransport:
    """Finds where members are, and keeps links to them."""

    def __init__(self, me: str, hub: NodeHub, view: MembershipView) -> None:
        self.me, self.hub, self.view = me, hub, view
        self._addresses: dict[str, str] = {}
        self._hear: Callable[[str, str, bytes], None] | None = None

    def connect(self, hear: Callable[[str, str, bytes], None]) -> None:
        """`hear(group, sender, body)` gets what comes for this member."""
        self._hear = hear

    def learn(self, members: Iterable[MemberAddress]) -> None:
        """Where members are, by the agreed placement."""
        for member in members:
            self._addresses[member.member] = member.address

    def reach(self, members: Iterable[MemberAddress]) -> None:
        """Have links to members of a group that is open here.

        Without one a message is lost while the link is made, and the first vote that a member asks for after
        a start would be: that costs another election's time.
        """
        for member in members:
            self._addresses.setdefault(member.member, member.address)
            if member.member != self.me:
                self.hub.dial(self._address(member.member), CARRIER_USER)

    def send(self, group: str, receiver: str, body: bytes) -> None:
        """Send where there is a link; consensus repeats what is lost."""
        address = self._address(receiver)
        if not address:
            return
        self.hub.dial(address, CARRIER_USER)
        link = self.hub.link_to(address)
        if link is not None and link.peer is not None and member_id(link.peer) == receiver:
            link.send(GroupMessage(group, body))

    def received(self, link: Link, message: GroupMessage) -> None:
        """A message of the member at the link's other end, which knows by this node's greeting that it talks
        to this member."""
        if link.peer is not None and self._hear is not None:
            self._hear(message.group, member_id(link.peer), message.body)

    def _address(self, member: str) -> str:
        node = self.view.find(member.partition("/")[0])
        if node is not None and member_id(node) == member:
            return node.address
        return self._addresses.get(member, "")
