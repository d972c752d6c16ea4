"""Reports of a shard's committed members by its owner.

They tell the configuration's owner which retirements are complete, and a removed replica that it may be
deleted.
"""

from __future__ import annotations

from bitternpath.configuration.feed_client import FeedClient
from bitternpath.replication.host import ReplicaHost
from bitternpath.transport.group_messages import MembershipReport, MembershipRequest
from bitternpath.transport.links import Link


class MembershipReporter:
    """Sends `MembershipReport` for groups that this node owns and whose members aren't being changed."""

    def __init__(self, host: ReplicaHost, feed: FeedClient) -> None:
        """`feed` provides the link to the configuration's owner."""
        self._host = host
        self._feed = feed

    def report(self, group: str) -> None:
        """Report to the configuration's owner, if it can be reached; called repeatedly."""
        link = self._feed.owner_link()
        if link is not None:
            self._send(link, group)

    def respond(self, link: Link, request: MembershipRequest) -> None:
        """Report to a replica that asks whether it may be deleted.

        A read barrier comes first: the replica may be the last copy, so an owner that may have a successor
        doesn't respond.
        """
        self._host.read_barrier(request.group).addCallbacks(
            lambda _: self._send(link, request.group), lambda _: None
        )

    def _send(self, link: Link, group: str) -> None:
        members = self._host.committed_members(group)
        if members is not None:
            link.send(
                MembershipReport(group, self._host.current_term(group), members.all, members.generation)
            )
