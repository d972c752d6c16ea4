"""`bitternpath system show`: asks one node, then all that it knows, and prints what they answer."""

from __future__ import annotations

import random
import time
from typing import Any

from twisted.internet import reactor as _reactor

from bitternpath.transport.connections import Link, NodeHub
from bitternpath.transport.node_messages import NodeDescriptor, NodeKind
from bitternpath.transport.operator_messages import GroupStatus, StatusRequest, StatusResponse

reactor: Any = _reactor
TOOL_USER = "tool"


class Survey:
    """Statuses of all nodes that can be reached."""

    def __init__(self, first: str) -> None:
        self.answers: dict[str, StatusResponse] = {}
        self.known: dict[str, NodeDescriptor] = {}
        me = NodeDescriptor("tool", "", NodeKind.TOOL, "", False, "", int(time.time() * 1000), 0)
        self.hub = NodeHub(reactor, self, lambda: me, random.Random())
        self.hub.dial(first, TOOL_USER)

    def link_opened(self, link: Link) -> None:
        """A node has introduced itself: ask it."""
        asked = link.request(StatusRequest)
        asked.addCallbacks(self._answered, lambda _: None)

    def link_closed(self, link: Link) -> None:
        """Nothing more comes from it."""

    def received(self, link: Link, record: Any) -> None:
        """Nothing but answers is of interest."""

    def _answered(self, answer: StatusResponse) -> None:
        self.answers[answer.node.name] = answer
        for node in (answer.node, *answer.known):
            if node.name not in self.known:
                self.known[node.name] = node
                self.hub.dial(node.address, TOOL_USER)

    def complete(self) -> bool:
        """Whether all known nodes have answered."""
        return bool(self.answers) and all(name in self.answers for name in self.known)


def show_system(node: str, seconds: float) -> bool:
    """Print the system as its nodes describe it; False where the first node doesn't answer."""
    survey = Survey(node)
    give_up_at = reactor.seconds() + seconds

    def look() -> None:
        if survey.complete() or reactor.seconds() >= give_up_at:
            survey.hub.stop()
            reactor.callLater(0.05, reactor.stop)
        else:
            reactor.callLater(0.1, look)

    reactor.callWhenRunning(look)
    reactor.run()
    if not survey.answers:
        print(f"no answer from {node}")
        return False
    print("\n".join(report(survey)))
    return True


def report(survey: Survey) -> list[str]:
    """The lines of the report."""
    lines = ["nodes"]
    for name, node in sorted(survey.known.items()):
        lines.append(_node_line(name, node, survey.answers.get(name)))
    lines.append("replica groups")
    owners: dict[str, tuple[GroupStatus, str]] = {}
    for answer in survey.answers.values():
        for group in answer.groups:
            known = owners.get(group.group)
            if known is None or (group.owns, group.epoch) > (known[0].owns, known[0].epoch):
                owners[group.group] = group, answer.node.name
    lines += [_group_line(*owners[name]) for name in sorted(owners)]
    queued = sum(group.queued for group, _ in owners.values())
    dead = sum(group.dead_letters for group, _ in owners.values())
    versions = sorted({answer.configuration_version for answer in survey.answers.values()})
    lines.append(f"total queued={queued} dead_letters={dead} configuration_versions={versions}")
    return lines


def _node_line(name: str, node: NodeDescriptor, answer: StatusResponse | None) -> str:
    place = f"  {name} {node.address} {node.kind.name.lower()} zone={node.zone}"
    if answer is None:
        return f"{place} no answer"
    return (
        f"{place} configuration={answer.configuration_version} placement={answer.placement_generation}"
        f" ready={answer.ready} memory_mb={answer.memory_mb:.0f}"
    )


def _group_line(group: GroupStatus, node: str) -> str:
    owner = node if group.owns else "none known"
    return (
        f"  {group.group} owner={owner} epoch={group.epoch} voters={len(group.voters)}"
        f" learners={len(group.learners)} queued={group.queued} dead_letters={group.dead_letters}"
        f" ended={group.ended}"
    )
