"""The founding as processes live it: who decides, who tells whom, and when a member may take part.

The right to decide is a document on the disk of the process at the first seed, written in its first life
before anything else; the decision takes its place on that disk before anybody is told. So a decider that is
killed at any moment goes on where it was, with the same decision, and there is never a second one.

A member of the configuration group opens it only when it knows whether it is a founder: a founder that began
as an empty member would never learn the founders and never vote. So whoever owns the group tells all its
members of the founding until they answer; a member that isn't named begins empty and is brought up.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import Any

import logbook

from bitternpath.membership.bootstrap import (
    CONFIGURATION_GROUP,
    DECIDER_DOCUMENT,
    BootstrapFile,
    decide_bootstrap,
)
from bitternpath.membership.view import MembershipView
from bitternpath.roles.settings import Settings
from bitternpath.storage.documents import CorruptDocumentError
from bitternpath.storage.node_disk import NodeDisk
from bitternpath.transport.codec import CodecError
from bitternpath.transport.connections import Link, NodeHub
from bitternpath.transport.group_messages import (
    BootstrapDecision,
    BootstrapDecisionStored,
    GroupPlacement,
    MemberAddress,
)

log = logbook.Logger("configuration")

LOOK_S = 0.25  # how often those who don't know of the founding yet are told
DECIDER_USER, MEMBER_USER = "decider", "founding"  # of links
NO_DECISION = BootstrapDecision("", GroupPlacement(CONFIGURATION_GROUP, 1, ()))  # nobody is named


class FoundingTeller:
    """Tells members of the founding until they have it on disk."""

    def __init__(self, hub: NodeHub, user: str, me: str = "") -> None:
        """`user` of the hub's links; `me` isn't told."""
        self._hub, self._user, self._me = hub, user, me
        self._told: set[str] = set()
        self._dialled: dict[str, str] = {}  # address by member

    def tell(self, founding: BootstrapDecision, members: Iterable[MemberAddress]) -> bool:
        """Tell those that haven't answered; whether there are any."""
        waiting = [each for each in members if each.member not in self._told and each.member != self._me]
        for member in waiting:
            self._dialled[member.member] = member.address
            self._hub.dial(member.address, self._user)
            link = self._hub.link_to(member.address)
            if link is not None:
                link.send(founding)
        names = {member.member for member in waiting}
        for gone in [member for member in self._dialled if member not in names]:
            self._leave(gone)
        return bool(waiting)

    def answered(self, answer: BootstrapDecisionStored) -> None:
        """A member has it."""
        self._told.add(answer.member)
        self._leave(answer.member)

    def _leave(self, member: str) -> None:
        address = self._dialled.pop(member, "")
        if address and address not in self._dialled.values():
            self._hub.release(address, self._user)


class FoundingKnowledge:
    """What a member of the configuration group knows of the founding."""

    def __init__(self, me: str, file: BootstrapFile) -> None:
        self._me, self._file = me, file
        self.founding: BootstrapDecision | None = None
        self._is_no_founder = False

    def load(self) -> None:
        """What is on disk."""
        self.founding = self._file.load()

    @property
    def may_take_part(self) -> bool:
        """Whether it is known if this member is a founder."""
        return self.founding is not None or self._is_no_founder

    def heard(self, link: Link, told: BootstrapDecision) -> None:
        """Somebody has told of the founding; answered once that is on disk."""
        if all(member.member != self._me for member in told.group.members):
            self._is_no_founder = self.founding is None
        elif not self.may_take_part:
            self._file.store(told)
            self.founding = told
            log.info("event=system_bootstrapped system={} members={}", told.system, len(told.group.members))
        elif self.founding is None or self.founding.system != told.system:
            return
        link.send(BootstrapDecisionStored(self._me))


class FoundingDecider:
    """Decides who founds the system, where it has the right to, and tells the founders."""

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        hub: NodeHub,
        view: MembershipView,
        random: Random,
        disk: NodeDisk | None = None,
    ) -> None:
        self.reactor, self.settings, self.view, self.random = reactor, settings, view, random
        self._started_at = reactor.seconds()
        self._teller = FoundingTeller(hub, DECIDER_USER)
        self._file: BootstrapFile | None = None
        if settings.data_dir is not None:
            self._file = BootstrapFile(settings.data_dir, disk, DECIDER_DOCUMENT)
        self._founding: BootstrapDecision | None = None
        self._timer: Any = None

    def start(self) -> None:
        """Begin to look, where this node is the one to decide."""
        try:
            kept = self._file.load() if self._file is not None else None
        except (
            CorruptDocumentError,
            CodecError,
        ) as error:  # a decision may have been told: there is no other
            log.warning("event=decider_dropped error={!r}", str(error))
            return
        if kept is not None:
            self._founding = kept if kept.system else None
        elif self._is_first_seed():
            self._keep(NO_DECISION)
        else:
            return
        self._look()

    def stop(self) -> None:
        """Decide nothing more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def answered(self, answer: BootstrapDecisionStored) -> None:
        """A founder has the decision on disk."""
        self._teller.answered(answer)

    def _is_first_seed(self) -> bool:
        seeds = self.settings.seed_addresses
        return self.settings.bootstrap and bool(seeds) and seeds[0] == self.settings.internal_address

    def _keep(self, decision: BootstrapDecision) -> None:
        if self._file is not None:
            self._file.store(decision)

    def _look(self) -> None:
        now = self.reactor.seconds()
        if self._founding is None:
            tolerated = self.settings.tolerated_machines
            self._founding = decide_bootstrap(self.view, tolerated, self._started_at, now, self.random)
            if self._founding is not None:
                self._keep(self._founding)
        if self._founding is not None and not self._teller.tell(self._founding, self._founding.group.members):
            return
        self._timer = self.reactor.callLater(LOOK_S, self._look)
