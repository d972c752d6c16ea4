"""Carries consensus messages between the members of replica groups over the node's links."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from bitternpath.membership.bootstrap import member_id
from bitternpath.membership.view import MembershipView
from bitternpath.transport.group_messages import GroupMessage, MemberAddress
from bitternpath.transport.hub import NodeHub
from bitternpath.transport.links import Link

REPLICATION_LINK_USER = "replication"  # name as a user of the hub's links


class GroupTransport:
    """Knows the addresses of members, and maintains links to them.

    Attributes:
        member_id: this node's member id in all groups, `NODE/DISK`.
    """

    def __init__(self, own_member_id: str, hub: NodeHub, view: MembershipView) -> None:
        """`own_member_id` is `NODE/DISK`."""
        self.member_id = own_member_id
        self._hub = hub
        self._view = view
        self._addresses: dict[str, str] = {}  # by member id
        self._receive: Callable[[str, str, bytes], None] | None = None

    def connect(self, receive: Callable[[str, str, bytes], None]) -> None:
        """Deliver messages to `receive(group, sender, body)` from now on."""
        self._receive = receive

    def update_addresses(self, members: Iterable[MemberAddress]) -> None:
        """Record the addresses of members from the committed placement."""
        for member in members:
            self._addresses[member.member] = member.address

    def connect_members(self, members: Iterable[MemberAddress]) -> None:
        """Dial the members of a group that is open here.

        A message that is sent before the link is established is lost. After a start, that would be the first
        vote request, which costs another election time-out.
        """
        for member in members:
            self._addresses.setdefault(member.member, member.address)
            if member.member != self.member_id:
                self._hub.dial(self._address(member.member), REPLICATION_LINK_USER)

    def send(self, group: str, receiver: str, body: bytes) -> None:
        """Send a message if a link to its receiver is open; else it is lost, and consensus sends it again."""
        address = self._address(receiver)
        if not address:
            return
        self._hub.dial(address, REPLICATION_LINK_USER)
        link = self._hub.link_to(address)
        if link is not None and link.peer is not None and member_id(link.peer) == receiver:
            link.send(GroupMessage(group, body))

    def received(self, link: Link, message: GroupMessage) -> None:
        """Deliver a message from the member at the other end of a link.

        That member knows from this node's `Hello` which member it is connected to.
        """
        if link.peer is not None and self._receive is not None:
            self._receive(message.group, member_id(link.peer), message.body)

    def _address(self, member: str) -> str:
        """A member's address, from the membership view (newer) or else a placement; "" if it is unknown."""
        node = self._view.find(member.partition("/")[0])
        if node is not None and member_id(node) == member:
            return node.address
        return self._addresses.get(member, "")
