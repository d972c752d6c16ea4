"""Operators' orders: all sequences of events in small scopes (RULES, "CONFIG"; PROTOCOL, the operator's API).

The world has two nodes that may own the configuration group, one log, and orders that build on version 3 or
on one another. Events: an order is sent to a node, or to the owner by a node that forwards (any number of
times, as answers may be lost); a majority answers the owner's rounds; what the owner has proposed is
committed, with or without the owner hearing of it; the other node takes over, with the open proposals kept or
lost, while the earlier owner knows of nothing until it learns of it; the other node is brought up by a
snapshot.
Every sequence up to a length is played, without events that change nothing; the checker looks at each answer
when it comes, and at all at the end.
Broken builds show that the search finds what it is for.
"""

from __future__ import annotations

import json
import unittest
from dataclasses import dataclass, field, replace

from twisted.internet.defer import Deferred, fail, succeed

from bitternpath.configuration.change_requests import ChangeRequest
from bitternpath.configuration.changes import ChangeProcessor, _Acceptable, _Submission
from bitternpath.configuration.results import OperatorResult, ResultCode, operator_result
from bitternpath.configuration.state_machine import ConfigurationSnapshot, ConfigurationState
from bitternpath.replication.errors import NotOwnerError, OutcomeUnknownError
from bitternpath.transport.codec import RecordCodec


@dataclass(frozen=True)
class Sent:
    """An order of the scope."""

    base: int
    version: int
    method: str = "PUT"

    def order(self, name: str) -> ChangeRequest:
        """As it is on the wire."""
        content = {"version": self.version, "by": name}
        whole = {"routes": [], "services": []} if self.method == "PUT" else {}
        return ChangeRequest(self.method, str(self.base), json.dumps({**content, **whole}).encode())


ORDERS = {
    "A": Sent(3, 5),
    "B": Sent(3, 5),  # the same number, other content
    "P": Sent(3, 5, "PATCH"),
    "C": Sent(5, 9),  # on top of whichever of these wins
    "D": Sent(9, 11),
}
WIRE = {name: sent.order(name) for name, sent in ORDERS.items()}
FIRST = ChangeRequest("PUT", "0", json.dumps({"version": 3, "routes": [], "services": []}).encode())


@dataclass
class Build:
    """What is played."""

    processor: type[ChangeProcessor] = ChangeProcessor
    state: type[ConfigurationState] = ConfigurationState
    remembered: int = 100


class Node:
    """A node with its replica of the state; implements `orders.ReplicaGroup`."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.state = world.build.state(world.build.remembered)
        self.applied = 0
        self.owner = False  # as far as it knows
        self.processor = world.build.processor(self.state, self)
        self.open: list[tuple[bytes, Deferred[object]]] = []
        self.barriers: list[Deferred[None]] = []

    def is_owner(self) -> bool:
        return self.owner

    def propose(self, command: bytes) -> Deferred[object]:
        if not self.owner:
            return fail(NotOwnerError())
        self.open.append((command, Deferred()))
        return self.open[-1][1]

    def barrier(self) -> Deferred[None]:
        if not self.owner:
            return fail(NotOwnerError())
        self.barriers.append(Deferred())
        return self.barriers[-1]

    def catch_up(self) -> None:
        """Apply what is committed."""
        while self.applied < len(self.world.log):
            self.applied += 1
            self.state.apply(self.applied, self.world.log[self.applied - 1])

    def learn(self) -> None:
        """It doesn't own the group any more, if it did."""
        self.owner = False
        barriers, self.barriers = self.barriers, []
        open_, self.open = self.open, []
        for _, proposed in open_:
            proposed.errback(OutcomeUnknownError())
        for barrier in barriers:
            barrier.errback(NotOwnerError())
        self.catch_up()


@dataclass
class World:
    """Two nodes, the committed log, and what the operators have heard."""

    build: Build
    log: list[bytes] = field(default_factory=list)
    answers: dict[str, list[OperatorResult]] = field(default_factory=dict)
    contacts: int = 0  # how often a majority has answered the owner
    violation: str = ""

    def __post_init__(self) -> None:
        self.nodes = [Node(self), Node(self)]
        self.owner = self.nodes[0]
        self.owner.owner = True
        self.history = ConfigurationState()  # of the log, for the checker
        self.owner.processor.submit(FIRST)
        self.settle()
        self.nodes[1].catch_up()

    # ---- events

    def confirm(self) -> None:
        """A majority answers the rounds of the owner."""
        barriers, self.owner.barriers = self.owner.barriers, []
        self.contacts += 1
        for barrier in barriers:
            barrier.callback(None)

    def commit(self) -> None:
        """What the owner has proposed is committed, and applied there."""
        owner = self.owner
        open_, owner.open = owner.open, []
        self.contacts += 1
        for command, proposed in open_:
            self._append(command)
            owner.applied += 1
            proposed.callback(owner.state.apply(owner.applied, command))

    def _append(self, command: bytes) -> None:
        self.log.append(command)
        self.history.apply(len(self.log), command)

    def take_over(self, keeps: bool) -> None:
        """The other node becomes owner. `keeps`: the open proposals had reached it, and are committed."""
        old, new = self.owner, next(node for node in self.nodes if node is not self.owner)
        new.learn()
        if keeps:
            for command, _ in old.open:
                self._append(command)
        new.catch_up()
        new.owner = True
        self.owner = new

    def learn(self) -> None:
        """A node that isn't the owner any more hears so."""
        for node in self.nodes:
            if node is not self.owner:
                node.learn()

    def install(self) -> None:
        """The node that isn't the owner is brought up by a snapshot of the owner's state."""
        for node in self.nodes:
            if node is not self.owner and not node.owner:
                node.state.restore(self.owner.state.snapshot())
                node.applied = self.owner.applied

    def send(self, name: str, node: Node) -> None:
        """An operator sends an order to a node; where that isn't the owner it gets 503 or is forwarded."""
        contacts = self.contacts

        def come(answer: OperatorResult) -> None:
            self.answers.setdefault(name, []).append(answer)
            self._look_at(name, answer, contacts)

        node.processor.submit(WIRE[name]).addCallback(come)

    def read(self, node: Node) -> None:
        """An operator reads the configuration."""
        contacts, known = self.contacts, self.history.version

        def come(answer: OperatorResult) -> None:
            if answer.code is not ResultCode.CURRENT:
                return
            if self.contacts == contacts:
                self._break("a read was answered without a word of a majority")
            if json.loads(answer.body)["version"] < known:
                self._break("a read is older than what was committed before it")

        node.processor.read().addCallback(come)

    def play(self, event: str) -> None:
        """One event."""
        match event:
            case "confirm":
                self.confirm()
            case "commit":
                self.commit()
            case "take over, kept":
                self.take_over(True)
            case "take over, lost":
                self.take_over(False)
            case "learn":
                self.learn()
            case "install":
                self.install()
            case _:
                node = self.owner if event[1] == "o" else self.nodes[int(event[1])]
                if event[0] == "R":
                    self.read(node)
                else:
                    self.send(event[0], node)

    def changes(self, event: str) -> bool:
        """Whether an event would change anything."""
        other = next(node for node in self.nodes if node is not self.owner)
        match event:
            case "confirm":
                return bool(self.owner.barriers)
            case "commit" | "take over, kept":
                return bool(self.owner.open)
            case "learn":
                return other.owner
            case "install":
                return not other.owner and other.applied < self.owner.applied
        return True

    # ---- rules

    def _break(self, rule: str) -> None:
        self.violation = self.violation or rule

    def _took_effect(self, name: str) -> bool:
        return self.history.accepted_as(WIRE[name].digest()) is not None

    def _look_at(self, name: str, answer: OperatorResult, contacts: int) -> None:
        """An answer, when it comes."""
        if not answer.decided:
            return
        if self.contacts == contacts:
            self._break(f"{name} got {answer.status} without a word of a majority")
        if answer.status == 200 and not self._took_effect(name):
            self._break(f"{name} was acknowledged and isn't committed")
        if answer.status != 200 and self.history.version < ORDERS[name].base:
            self.answers[name].pop()  # its operator had no reason to build on that version yet

    def settle(self) -> None:
        """All that is under way comes to its end."""
        self.learn()
        while self.owner.barriers or self.owner.open:
            self.confirm()
            self.commit()

    def judge(self) -> str:
        """The rule that the answers break, or ""."""
        self.settle()
        for name, answers in self.answers.items():
            if self._took_effect(name) and any(400 <= answer.status < 500 for answer in answers):
                self._break(f"{name} is in force and was refused")
        for name in list(self.answers):
            self._send_again(name)
        for node in self.nodes:
            node.catch_up()
        if {node.state.version for node in self.nodes} != {self.history.version}:
            self._break("the nodes differ")
        return self.violation

    def _send_again(self, name: str) -> None:
        if self.history.version <= ORDERS[name].base:
            return
        took_effect = self._took_effect(name)
        self.send(name, self.owner)
        self.settle()
        last = self.answers[name][-1:]
        forgotten = self.build.remembered < 100 and last and last[0].status == 503
        if took_effect and last[0].status != 200 and not forgotten:
            self._break(f"{name} is in force and sent again it gets {last[0].status}")
        if not took_effect and last and last[0].status != 412 and not forgotten:
            self._break(f"{name} isn't in force and gets {last[0].status}")


@dataclass(frozen=True)
class Scope:
    """Which events are played, in sequences of that length, after the `beginning`."""

    events: tuple[str, ...]
    length: int
    beginning: tuple[str, ...] = ()
    remembered: int = 100


CHANGES = ("confirm", "commit", "take over, kept", "take over, lost", "learn")
SCOPES = {
    "two operators, one number": Scope(("Ao", "A0", "Bo", *CHANGES), 5),
    "PUT against PATCH": Scope(("Ao", "Po", "P1", *CHANGES), 5),
    "three tries, an answer lost, another version between": Scope(
        ("Ao", "Co", *CHANGES), 6, ("Ao", "confirm", "commit", "Ao")
    ),
    "owner lost between commit and answer": Scope(
        ("A0", "A1", "Co", *CHANGES), 5, ("Ao", "confirm", "take over, kept")
    ),
    "on top of one another": Scope(("Ao", "Co", *CHANGES), 6),
    "reads": Scope(("Ao", "R0", "R1", *CHANGES), 5, ("Ao", "confirm")),
    "brought up by a snapshot": Scope(("Ao", "Co", "install", *CHANGES), 6),
    "more orders than digests": Scope(("Ao", "Co", "Do", "install", *CHANGES), 5, remembered=1),
    "more orders than two digests": Scope(
        ("Ao", "Bo", "Do", "confirm", "commit", "take over, kept"),
        5,
        ("Ao", "confirm", "commit", "Co", "confirm", "commit"),
        remembered=2,
    ),
}

SEQUENCES = {  # of each scope: a search that leaves some out is no search of all
    "two operators, one number": 3_754,
    "PUT against PATCH": 3_546,
    "three tries, an answer lost, another version between": 6_443,
    "owner lost between commit and answer": 5_011,
    "on top of one another": 5_285,
    "reads": 6_802,
    "brought up by a snapshot": 5_377,
    "more orders than digests": 3_514,
    "more orders than two digests": 1_075,
}


@dataclass
class Search:
    """Plays a scope with a build."""

    build: Build
    scope: Scope
    count: int = 0

    def run(self, done: tuple[str, ...] = ()) -> str:
        """The first sequence that breaks a rule, of those that begin with `done`; or ""."""
        world = World(self.build)
        for event in self.scope.beginning + done:
            world.play(event)
        going_on = [event for event in self.scope.events if world.changes(event)]
        self.count += 1
        rule = world.judge()
        if rule:
            return f"{rule}: {', '.join(self.scope.beginning + done)}"
        if len(done) < self.scope.length:
            for event in going_on:
                found = self.run((*done, event))
                if found:
                    return found
        return ""


def search(build: type[ChangeProcessor], state: type[ConfigurationState], scope: Scope) -> tuple[int, str]:
    """How many sequences were played, and the first that breaks a rule, or ""."""
    played = Search(Build(build, state, scope.remembered), scope)
    found = played.run()
    return played.count, found


# ---- broken builds


class WithoutConfirmation(ChangeProcessor):
    """Answers are given without asking a majority."""

    def submit(self, order: ChangeRequest) -> Deferred[OperatorResult]:
        if not self.group.is_owner():
            return super().submit(order)
        answer: Deferred[OperatorResult] = Deferred()
        self._confirm(_Submission(order, order.digest(), answer))
        return answer


class ReadWithoutConfirmation(ChangeProcessor):
    """A read is answered from what this node has."""

    def read(self) -> Deferred[OperatorResult]:
        return succeed(self._current()) if self.group.is_owner() else super().read()


class ReckonedBefore(ChangeProcessor):
    """Answers are reckoned when the order comes, and sent once ownership is confirmed."""

    def __init__(self, state: ConfigurationState, group: Node) -> None:
        super().__init__(state, group)
        self.reckoned: dict[int, _Acceptable | OperatorResult] = {}

    def submit(self, order: ChangeRequest) -> Deferred[OperatorResult]:
        early = super()._reckon(_Submission(order, order.digest(), Deferred()))
        if isinstance(early, OperatorResult) and early.decided:
            return self.group.barrier().addCallbacks(
                lambda _: early, lambda _: operator_result(ResultCode.NOT_OWNER)
            )
        return super().submit(order)


class AcknowledgedBeforeCommit(ChangeProcessor):
    """An order is acknowledged once it is proposed."""

    def _propose(self, submission: _Submission, acceptable: _Acceptable) -> None:
        submission.answer.callback(operator_result(ResultCode.ACCEPTED, version=acceptable.version))
        early = _Submission(submission.order, submission.digest, Deferred())
        super()._propose(early, acceptable)


class RefusedWhileOpen(ChangeProcessor):
    """An order whose proposal failed is refused, though it may be committed still."""

    def _decided(self, decided: OperatorResult, submission: _Submission) -> None:
        open_ = decided.code is ResultCode.FATE_OPEN
        super()._decided(operator_result(ResultCode.OTHER_VERSION) if open_ else decided, submission)


class ForgetsAccepted(ConfigurationState):
    """No order is remembered."""

    def accepted_as(self, digest: bytes) -> int | None:
        return None


class SnapshotWithoutDigests(ConfigurationState):
    """Snapshots lack the digests of accepted orders."""

    def restore(self, data: bytes) -> None:
        codec = RecordCodec(ConfigurationSnapshot)
        whole: ConfigurationSnapshot = codec.decode(data)
        without = replace(whole, orders=())
        super().restore(codec.encode(without))


class RefusesForgotten(ConfigurationState):
    """What was too long ago to be remembered is refused."""

    def may_have_evicted(self, base: int) -> bool:
        return False


class RaceTest(unittest.TestCase):
    """The search."""

    longest_test_s = 55

    def test_no_sequence_of_events_breaks_a_rule(self) -> None:
        for label, scope in SCOPES.items():
            with self.subTest(label):
                count, found = search(ChangeProcessor, ConfigurationState, scope)
                self.assertEqual(found, "")
                self.assertEqual(count, SEQUENCES[label])

    def assert_found(
        self, label: str, build: type = ChangeProcessor, state: type = ConfigurationState
    ) -> None:
        self.assertNotEqual(search(build, state, SCOPES[label])[1], "")

    def test_broken_no_confirmation_before_an_answer(self) -> None:
        self.assert_found("two operators, one number", WithoutConfirmation)
        self.assert_found("reads", ReadWithoutConfirmation)

    def test_broken_reckoned_before_the_confirmation(self) -> None:
        self.assert_found("on top of one another", ReckonedBefore)

    def test_broken_acknowledged_before_commit(self) -> None:
        self.assert_found("two operators, one number", AcknowledgedBeforeCommit)

    def test_broken_refused_while_its_fate_is_open(self) -> None:
        self.assert_found("two operators, one number", RefusedWhileOpen)

    def test_broken_accepted_orders_are_forgotten(self) -> None:
        self.assert_found("three tries, an answer lost, another version between", state=ForgetsAccepted)

    def test_broken_digests_not_in_the_snapshot(self) -> None:
        self.assert_found("brought up by a snapshot", state=SnapshotWithoutDigests)

    def test_broken_forgotten_orders_are_refused(self) -> None:
        self.assert_found("more orders than digests", state=RefusesForgotten)
        self.assert_found("more orders than two digests", state=RefusesForgotten)


if __name__ == "__main__":
    unittest.main()
