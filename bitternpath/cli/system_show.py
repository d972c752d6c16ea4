"""`bitternpath system show`: queries one node, then all nodes that it knows, and prints their answers."""

from __future__ import annotations

import random
import time
from collections.abc import Iterable, Mapping
from functools import partial
from typing import Any, NamedTuple

from twisted.internet import reactor as _reactor

from bitternpath.transport.hub import NodeHub
from bitternpath.transport.links import Link
from bitternpath.transport.messages import Response
from bitternpath.transport.node_messages import NodeDescriptor, NodeKind
from bitternpath.transport.operator_messages import (
    EventCountsRequest,
    EventCountsResponse,
    GroupStatus,
    StatusRequest,
    StatusResponse,
)

reactor: Any = _reactor

TOOL_LINK_USER = "tool"  # name as a user of the hub's links
POLL_INTERVAL_S = 0.1  # between checks whether all nodes have answered
LINKS_CLOSE_DELAY_S = 0.05  # time to close the links


class StatusSurvey:
    """Queries the status of all nodes that can be reached. Implements `transport.links.LinkHandler`.

    Attributes:
        known: all nodes named in any answer, by name.
        events: counts of log events of each node that was queried for them and has answered, by name.
        answers: the status of each node that has answered, by name.
    """

    def __init__(self, first_address: str, *, wants_events: bool = False) -> None:
        """`first_address` is the internal address of any node, `ip:port`."""
        self.answers: dict[str, StatusResponse] = {}
        self.events: dict[str, EventCountsResponse] = {}
        self._wants_events = wants_events
        self.known: dict[str, NodeDescriptor] = {}
        local_node = NodeDescriptor("tool", "", NodeKind.TOOL, "", False, "", int(time.time() * 1000), 0)
        self.hub = NodeHub(reactor, self, lambda: local_node, random.Random())
        self.hub.dial(first_address, TOOL_LINK_USER)

    def link_opened(self, link: Link) -> None:
        """Query a node that has sent `Hello`."""
        link.request(StatusRequest).addCallbacks(self._answered, lambda _: None)
        if self._wants_events and link.peer is not None:
            link.request(EventCountsRequest).addCallbacks(
                partial(self._counted, link.peer.name), lambda _: None
            )

    def link_closed(self, _link: Link) -> None:
        """Do nothing: the hub dials again."""

    def received(self, _link: Link, _record: Any) -> None:
        """Ignore records that aren't responses."""

    def _counted(self, name: str, answer: Response) -> None:
        if isinstance(answer, EventCountsResponse):
            self.events[name] = answer

    def _answered(self, answer: Response) -> None:
        if not isinstance(answer, StatusResponse):
            return
        self.answers[answer.node.name] = answer
        for node in (answer.node, *answer.known):
            if node.name not in self.known:
                self.known[node.name] = node
                self.hub.dial(node.address, TOOL_LINK_USER)

    def is_complete(self) -> bool:
        """Whether all known nodes have answered."""
        answered = set(self.answers) & set(self.events) if self._wants_events else set(self.answers)
        return bool(self.answers) and answered >= set(self.known)


def show_system(address: str, seconds: float, *, events: bool = False) -> bool:
    """Print the system as its nodes describe it; False if the first node doesn't answer.

    `events`: also print the counts of each node's log events, by cause. Nodes of an earlier revision don't
    know that request and close the link: they are shown as `no answer`, or without counts.

    Runs the reactor until all known nodes have answered, but for `seconds` at most.
    """
    survey = StatusSurvey(address, wants_events=events)
    deadline = reactor.seconds() + seconds

    def poll() -> None:
        if survey.is_complete() or reactor.seconds() >= deadline:
            survey.hub.stop()
            reactor.callLater(LINKS_CLOSE_DELAY_S, reactor.stop)
        else:
            reactor.callLater(POLL_INTERVAL_S, poll)

    reactor.callWhenRunning(poll)
    reactor.run()
    if not survey.answers:
        print(f"no answer from {address}")
        return False
    print("\n".join(report(survey)))
    return True


def report(survey: StatusSurvey) -> list[str]:
    """Format the answers: a line for each node, a line for each replica group, and totals."""
    groups = _newest_groups(survey.answers.values())
    queued = sum(each.status.queued for each in groups.values())
    dead_letters = sum(each.status.dead_letters for each in groups.values())
    versions = sorted({answer.configuration_version for answer in survey.answers.values()})
    return [
        "nodes",
        *(_node_line(name, node, survey.answers.get(name)) for name, node in sorted(survey.known.items())),
        "replica groups",
        *(_group_line(groups[name]) for name in sorted(groups)),
        f"total queued={queued} dead_letters={dead_letters} configuration_versions={versions}",
        *_event_lines(survey.events),
    ]


def _event_lines(events: Mapping[str, EventCountsResponse]) -> list[str]:
    """Each event and cause with its counts by node."""
    counts_by_event: dict[tuple[str, str], list[str]] = {}
    for name, answer in sorted(events.items()):
        for each in answer.counts:
            counts_by_event.setdefault((each.event, each.cause), []).append(f"{name}={each.count}")
    if not counts_by_event:
        return []
    lines = [
        f"  {event}{f' cause={cause!r}' if cause else ''}: {' '.join(counts)}"
        for (event, cause), counts in sorted(counts_by_event.items())
    ]
    return ["log events since each process started", *lines]


class _MemberStatus(NamedTuple):
    """A replica group as seen by one of its members."""

    status: GroupStatus
    node: str


def _newest_groups(answers: Iterable[StatusResponse]) -> dict[str, _MemberStatus]:
    """Each group as its owner sees it; without an owner, as the member with the highest epoch does."""
    newest: dict[str, _MemberStatus] = {}
    for answer in answers:
        for status in answer.groups:
            known = newest.get(status.group)
            if known is None or (status.owns, status.epoch) > (known.status.owns, known.status.epoch):
                newest[status.group] = _MemberStatus(status, answer.node.name)
    return newest


def _node_line(name: str, node: NodeDescriptor, answer: StatusResponse | None) -> str:
    descriptor = f"  {name} {node.address} {node.kind.name.lower()} zone={node.zone}"
    if answer is None:
        return f"{descriptor} no answer"
    return (
        f"{descriptor} configuration={answer.configuration_version} placement={answer.placement_generation}"
        f" ready={answer.ready} memory_mb={answer.memory_mb:.0f}"
    )


def _group_line(member: _MemberStatus) -> str:
    group = member.status
    owner = member.node if group.owns else "none known"
    return (
        f"  {group.group} owner={owner} epoch={group.epoch} voters={len(group.voters)}"
        f" learners={len(group.learners)} queued={group.queued} dead_letters={group.dead_letters}"
        f" ended={group.ended}"
    )
