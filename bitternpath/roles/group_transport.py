"""Carries consensus messages between members of replica groups over the node's links."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from bitternpath.membership.bootstrap import member_id
from bitternpath.membership.view import MembershipView
from bitternpath.transport.group_messages import GroupMessage, MemberAddress
from bitternpath.transport.hub import NodeHub
from bitternpath.transport.links import Link

REPLICATION_LINK_USER = "replication"  # of the hub's links


class GroupTransport:
    """Knows the addresses of members, and keeps links to them.

    Attributes:
        member_id: of this node in all groups, `NODE/DISK`.
    """

    def __init__(self, own_member_id: str, hub: NodeHub, view: MembershipView) -> None:
        """`own_member_id` is `NODE/DISK`."""
        self.member_id = own_member_id
        self._hub = hub
        self._view = view
        self._addresses: dict[str, str] = {}  # by member id
        self._receive: Callable[[str, str, bytes], None] | None = None

    def connect(self, receive: Callable[[str, str, bytes], None]) -> None:
        """Pass messages to `receive(group, sender, body)` from now on."""
        self._receive = receive

    def update_addresses(self, members: Iterable[MemberAddress]) -> None:
        """Remember where members are, by the agreed placement."""
        for member in members:
            self._addresses[member.member] = member.address

    def connect_members(self, members: Iterable[MemberAddress]) -> None:
        """Dial the members of a group that is open here.

        Without a link a message is lost while the link is made. The first vote that a member requests after a
        start would be, which costs another election time-out.
        """
        for member in members:
            self._addresses.setdefault(member.member, member.address)
            if member.member != self.member_id:
                self._hub.dial(self._address(member.member), REPLICATION_LINK_USER)

    def send(self, group: str, receiver: str, body: bytes) -> None:
        """Send a message where there is a link to its receiver; else it is lost, and consensus repeats it."""
        address = self._address(receiver)
        if not address:
            return
        self._hub.dial(address, REPLICATION_LINK_USER)
        link = self._hub.link_to(address)
        if link is not None and link.peer is not None and member_id(link.peer) == receiver:
            link.send(GroupMessage(group, body))

    def received(self, link: Link, message: GroupMessage) -> None:
        """Pass on a message of the member at the other end of a link.

        That member knows from this node's `Hello` which member it talks to.
        """
        if link.peer is not None and self._receive is not None:
            self._receive(message.group, member_id(link.peer), message.body)

    def _address(self, member: str) -> str:
        """By the membership view, which is newer than a placement; "" where it is unknown."""
        node = self._view.find(member.partition("/")[0])
        if node is not None and member_id(node) == member:
            return node.address
        return self._addresses.get(member, "")
