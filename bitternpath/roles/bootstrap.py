"""Bootstrap of a new system: which process decides on the founding members, and how they are notified.

Only the process at the first seed may decide. At its first start, before anything else, it writes a document
to its disk that claims this right; the decision replaces that document before any node is notified. A
coordinator that is killed at any point therefore resumes with the same decision, and there is never a second
one.

A member of the configuration group opens the group only once it knows whether it is a founder: a founder that
started as an empty member would never learn the other founders, and would never vote. The group's owner
therefore notifies all members of the decision until they acknowledge it. A member that the decision doesn't
name starts empty and is brought up to date by the leader.
"""

from __future__ import annotations

from collections.abc import Iterable

import logbook

from bitternpath.membership.bootstrap import (
    CONFIGURATION_GROUP,
    COORDINATOR_DOCUMENT,
    BootstrapFile,
    decide_bootstrap,
)
from bitternpath.net.clock import Timer, cancel_if_active
from bitternpath.net.reactor import NodeReactor
from bitternpath.roles.node_base import NodeBase
from bitternpath.storage.errors import CorruptDocumentError
from bitternpath.transport.errors import CodecError
from bitternpath.transport.group_messages import (
    BootstrapDecision,
    BootstrapDecisionStored,
    GroupPlacement,
    MemberAddress,
)
from bitternpath.transport.hub import NodeHub
from bitternpath.transport.links import Link

log = logbook.Logger("configuration")

CHECK_INTERVAL_S = 0.25  # between attempts to decide, and between notifications
COORDINATOR_LINK_USER = "decider"  # name of the coordinator as a user of the hub's links
MEMBER_LINK_USER = "founding"  # name of the configuration member as a user of the hub's links
NO_DECISION = BootstrapDecision("", GroupPlacement(CONFIGURATION_GROUP, 1, ()))  # names no founder


class BootstrapNotifier:
    """Sends the decision to members until each has stored it on disk."""

    def __init__(self, hub: NodeHub, link_user: str, own_member_id: str = "") -> None:
        """`link_user` names this object as a user of the hub's links; `own_member_id` isn't notified."""
        self._hub = hub
        self._link_user = link_user
        self._own_member_id = own_member_id
        self._acknowledged: set[str] = set()
        self._dialled: dict[str, str] = {}  # address by member id

    def notify(self, decision: BootstrapDecision, members: Iterable[MemberAddress]) -> bool:
        """Send the decision to the members that haven't acknowledged it; return whether there are any.

        Members that were notified earlier and aren't in `members` any more are not notified again.
        """
        pending = [each for each in members if self._is_pending(each.member)]
        for member in pending:
            self._dialled[member.member] = member.address
            self._hub.dial(member.address, self._link_user)
            link = self._hub.link_to(member.address)
            if link is not None:
                link.send(decision)
        names = {member.member for member in pending}
        for departed in [member for member in self._dialled if member not in names]:
            self._release(departed)
        return bool(pending)

    def _is_pending(self, member: str) -> bool:
        return member not in self._acknowledged and member != self._own_member_id

    def acknowledged(self, answer: BootstrapDecisionStored) -> None:
        """Record that a member has stored the decision on disk."""
        self._acknowledged.add(answer.member)
        self._release(answer.member)

    def _release(self, member: str) -> None:
        address = self._dialled.pop(member, "")
        if address and address not in self._dialled.values():
            self._hub.release(address, self._link_user)


class BootstrapState:
    """What a member of the configuration group knows about the decision.

    Attributes:
        decision: the decision that names this member as a founder, as stored on disk; None for other members.
    """

    def __init__(self, own_member_id: str, file: BootstrapFile) -> None:
        """`file` stores the decision if this member is a founder."""
        self.decision: BootstrapDecision | None = None
        self._own_member_id = own_member_id
        self._file = file
        self._known_not_founder = False

    def load(self) -> None:
        """Read the decision from disk; raises `CorruptDocumentError` and `CodecError`."""
        self.decision = self._file.load()

    @property
    def is_known(self) -> bool:
        """Whether this member knows if it is a founder; only then may it open the group."""
        return self.decision is not None or self._known_not_founder

    def decision_received(self, link: Link, received: BootstrapDecision) -> None:
        """Store a decision from another node, and acknowledge it once it is on disk."""
        if all(member.member != self._own_member_id for member in received.group.members):
            self._known_not_founder = self.decision is None
        elif not self.is_known:
            self._file.store(received)
            self.decision = received
            members = len(received.group.members)
            log.info("event=system_bootstrapped system={} members={}", received.system, members)
        elif self.decision is None or self.decision.system != received.system:
            return
        link.send(BootstrapDecisionStored(self._own_member_id))


class BootstrapCoordinator:
    """Decides on the founding members, on the node that may decide, and notifies them."""

    def __init__(self, reactor: NodeReactor, base: NodeBase) -> None:
        """On a node without a disk, the decision is kept in memory only."""
        self._reactor = reactor
        self._base = base
        self._settings = base.settings
        self._started_at = reactor.seconds()
        self._notifier = BootstrapNotifier(base.hub, COORDINATOR_LINK_USER)
        self._file: BootstrapFile | None = None
        if base.settings.data_dir is not None:
            self._file = BootstrapFile(base.settings.data_dir, base.disk, COORDINATOR_DOCUMENT)
        self._decision: BootstrapDecision | None = None
        self._scheduled: Timer | None = None

    def start(self) -> None:
        """Claim the right to decide if this is the first seed, or resume from an earlier claim or decision.

        A document that can't be read may have contained a decision that other nodes have received, so the
        coordinator then decides nothing.
        """
        try:
            stored = self._file.load() if self._file is not None else None
        except (CorruptDocumentError, CodecError) as error:
            log.warning("event=bootstrap_decision_unreadable error={!r}", str(error))
            return
        if stored is not None:
            self._decision = stored if stored.system else None
        elif self._is_first_seed():
            self._store(NO_DECISION)
        else:
            return
        self._advance()

    def stop(self) -> None:
        """Stop deciding and notifying."""
        cancel_if_active(self._scheduled)

    def acknowledged(self, answer: BootstrapDecisionStored) -> None:
        """Record that a founder has stored the decision on disk."""
        self._notifier.acknowledged(answer)

    def _is_first_seed(self) -> bool:
        seeds = self._settings.seed_addresses
        return self._settings.bootstrap and bool(seeds) and seeds[0] == self._settings.internal_address

    def _store(self, decision: BootstrapDecision) -> None:
        if self._file is not None:
            self._file.store(decision)

    def _advance(self) -> None:
        """Decide, if possible by now, and notify the founders; repeat until all have acknowledged."""
        if self._decision is None:
            self._decision = decide_bootstrap(
                self._base.view,
                self._settings.tolerated_machines,
                self._started_at,
                self._reactor.seconds(),
                self._base.random,
            )
            if self._decision is not None:
                self._store(self._decision)
        decision = self._decision
        if decision is not None and not self._notifier.notify(decision, decision.group.members):
            return
        self._scheduled = self._reactor.callLater(CHECK_INTERVAL_S, self._advance)
