"""Exhaustive search over interleavings of operators' changes in small scopes (RULES, "CONFIG"; PROTOCOL).

The simulation has two nodes that may own the configuration group, one log, and changes that are based on
version 3 or on each other. These are its events:

- A change is sent to a node, or forwarded to the owner, any number of times, since responses may be lost.
- A majority answers the owner's read index.
- The owner's proposals are committed, whether or not the owner learns of it.
- The other node becomes the owner. Uncommitted proposals are kept or lost, and the previous owner only learns
  of this by a later event.
- The node that isn't the owner is brought up to date by a snapshot.

The search plays every sequence of events up to a length, except events that change nothing. The checker
examines each result when it arrives, and all results at the end. Broken builds show that the search detects
violations.
"""

from __future__ import annotations

import json
import unittest
from dataclasses import dataclass, field, replace

from twisted.internet.defer import Deferred, fail, succeed

from bitternpath.configuration.change_evaluation import ProposedChange
from bitternpath.configuration.change_requests import ChangeRequest
from bitternpath.configuration.changes import ChangeProcessor, PendingChange
from bitternpath.configuration.results import OperatorResult, ResultCode, operator_result
from bitternpath.configuration.state_machine import ConfigurationSnapshot, ConfigurationState
from bitternpath.replication.errors import NotOwnerError, OutcomeUnknownError
from bitternpath.transport.codec import RecordCodec


@dataclass(frozen=True)
class ScopeChange:
    """A change that operators send in a scope."""

    base: int
    version: int
    method: str = "PUT"

    def request(self, name: str) -> ChangeRequest:
        """The request as it is sent."""
        content = {"version": self.version, "by": name}
        sections = {"routes": [], "services": []} if self.method == "PUT" else {}
        return ChangeRequest(self.method, str(self.base), json.dumps({**content, **sections}).encode())


CHANGES = {
    "A": ScopeChange(3, 5),
    "B": ScopeChange(3, 5),  # same version, different content
    "P": ScopeChange(3, 5, "PATCH"),
    "C": ScopeChange(5, 9),  # based on whichever of these is accepted
    "D": ScopeChange(9, 11),
}
REQUESTS = {name: change.request(name) for name, change in CHANGES.items()}
FIRST = ChangeRequest("PUT", "0", json.dumps({"version": 3, "routes": [], "services": []}).encode())


@dataclass
class Build:
    """The classes and limits under test."""

    processor: type[ChangeProcessor] = ChangeProcessor
    state: type[ConfigurationState] = ConfigurationState
    remembered: int = 100


class Node:
    """A node with its replica of the state, as a `ConsensusGroup`."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.state = simulation.build.state(simulation.build.remembered)
        self.applied = 0
        self.owner = False  # whether it believes to be the owner
        self.processor = simulation.build.processor(self.state, self)
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
        """Apply all committed commands."""
        while self.applied < len(self.simulation.log):
            self.applied += 1
            self.state.apply(self.applied, self.simulation.log[self.applied - 1])

    def step_down(self) -> None:
        """Give up ownership of the group, if this node has it."""
        self.owner = False
        barriers, self.barriers = self.barriers, []
        proposals, self.open = self.open, []
        for _, proposed in proposals:
            proposed.errback(OutcomeUnknownError())
        for barrier in barriers:
            barrier.errback(NotOwnerError())
        self.catch_up()


@dataclass
class Simulation:
    """Two nodes, the committed log, and the results received by operators."""

    build: Build
    log: list[bytes] = field(default_factory=list)
    results: dict[str, list[OperatorResult]] = field(default_factory=dict)
    contacts: int = 0  # number of times that a majority has answered the owner
    violation: str = ""

    def __post_init__(self) -> None:
        self.nodes = [Node(self), Node(self)]
        self.owner = self.nodes[0]
        self.owner.owner = True
        self.history = ConfigurationState()  # state after the complete log, for the checker
        self.owner.processor.submit(FIRST)
        self.settle()
        self.nodes[1].catch_up()

    # ---- events

    def confirm(self) -> None:
        """A majority answers the owner's read index."""
        barriers, self.owner.barriers = self.owner.barriers, []
        self.contacts += 1
        for barrier in barriers:
            barrier.callback(None)

    def commit(self) -> None:
        """The owner's proposals are committed and applied."""
        owner = self.owner
        proposals, owner.open = owner.open, []
        self.contacts += 1
        for command, proposed in proposals:
            self._append(command)
            owner.applied += 1
            proposed.callback(owner.state.apply(owner.applied, command))

    def _append(self, command: bytes) -> None:
        self.log.append(command)
        self.history.apply(len(self.log), command)

    def change_owner(self, *, keeps_proposals: bool) -> None:
        """The other node becomes owner.

        With `keeps_proposals` it has received the uncommitted proposals, and commits them.
        """
        old, new = self.owner, next(node for node in self.nodes if node is not self.owner)
        new.step_down()
        if keeps_proposals:
            for command, _ in old.open:
                self._append(command)
        new.catch_up()
        new.owner = True
        self.owner = new

    def inform_earlier_owner(self) -> None:
        """The previous owner learns that it has been replaced."""
        for node in self.nodes:
            if node is not self.owner:
                node.step_down()

    def install(self) -> None:
        """The node that isn't the owner installs a snapshot of the owner's state."""
        for node in self.nodes:
            if node is not self.owner and not node.owner:
                node.state.restore(self.owner.state.snapshot())
                node.applied = self.owner.applied

    def send(self, name: str, node: Node) -> None:
        """An operator sends a change to a node. A node that isn't the owner responds with 503."""
        contacts = self.contacts

        def receive(result: OperatorResult) -> None:
            self.results.setdefault(name, []).append(result)
            self._check_result(name, result, contacts)

        node.processor.submit(REQUESTS[name]).addCallback(receive)

    def read(self, node: Node) -> None:
        """An operator reads the configuration."""
        contacts, known = self.contacts, self.history.version

        def receive(result: OperatorResult) -> None:
            if result.code is not ResultCode.CURRENT:
                return
            if self.contacts == contacts:
                self._break("a read was answered without contact to a majority")
            if json.loads(result.body)["version"] < known:
                self._break("a read is older than what was committed before it")

        node.processor.read().addCallback(receive)

    def play(self, event: str) -> None:
        """Play one event."""
        match event:
            case "confirm":
                self.confirm()
            case "commit":
                self.commit()
            case "new owner, kept":
                self.change_owner(keeps_proposals=True)
            case "new owner, lost":
                self.change_owner(keeps_proposals=False)
            case "earlier owner learns":
                self.inform_earlier_owner()
            case "install":
                self.install()
            case _:
                node = self.owner if event[1] == "o" else self.nodes[int(event[1])]
                if event[0] == "R":
                    self.read(node)
                else:
                    self.send(event[0], node)

    def changes(self, event: str) -> bool:
        """Whether an event would have any effect."""
        other = next(node for node in self.nodes if node is not self.owner)
        match event:
            case "confirm":
                return bool(self.owner.barriers)
            case "commit" | "new owner, kept":
                return bool(self.owner.open)
            case "earlier owner learns":
                return other.owner
            case "install":
                return not other.owner and other.applied < self.owner.applied
        return True

    # ---- rules

    def _break(self, rule: str) -> None:
        self.violation = self.violation or rule

    def _took_effect(self, name: str) -> bool:
        return self.history.accepted_version_of(REQUESTS[name].digest()) is not None

    def _check_result(self, name: str, result: OperatorResult, contacts: int) -> None:
        """Check a result when it arrives."""
        if not result.decided:
            return
        if self.contacts == contacts:
            self._break(f"{name} got {result.status} without contact to a majority")
        if result.status == 200 and not self._took_effect(name):
            self._break(f"{name} was acknowledged and isn't committed")
        if result.status != 200 and self.history.version < CHANGES[name].base:
            self.results[name].pop()  # the operator couldn't know the base version yet

    def settle(self) -> None:
        """Complete everything in flight."""
        self.inform_earlier_owner()
        while self.owner.barriers or self.owner.open:
            self.confirm()
            self.commit()

    def verdict(self) -> str:
        """The rule that the results violate, or ""."""
        self.settle()
        for name, results in self.results.items():
            if self._took_effect(name) and any(400 <= result.status < 500 for result in results):
                self._break(f"{name} is in force and was rejected")
        for name in list(self.results):
            self._retry(name)
        for node in self.nodes:
            node.catch_up()
        if {node.state.version for node in self.nodes} != {self.history.version}:
            self._break("the nodes differ")
        return self.violation

    def _retry(self, name: str) -> None:
        if self.history.version <= CHANGES[name].base:
            return
        took_effect = self._took_effect(name)
        self.send(name, self.owner)
        self.settle()
        last = self.results[name][-1:]
        may_be_evicted = self.build.remembered < 100 and last and last[0].status == 503
        if took_effect and last[0].status != 200 and not may_be_evicted:
            self._break(f"{name} is in force and its retry gets {last[0].status}")
        if not took_effect and last and last[0].status != 412 and not may_be_evicted:
            self._break(f"{name} isn't in force and gets {last[0].status}")


@dataclass(frozen=True)
class Scope:
    """The events to play in sequences up to `length`, after the fixed `beginning`."""

    events: tuple[str, ...]
    length: int
    beginning: tuple[str, ...] = ()
    remembered: int = 100


GROUP_EVENTS = ("confirm", "commit", "new owner, kept", "new owner, lost", "earlier owner learns")
SCOPES = {
    "two operators, one number": Scope(("Ao", "A0", "Bo", *GROUP_EVENTS), 5),
    "PUT against PATCH": Scope(("Ao", "Po", "P1", *GROUP_EVENTS), 5),
    "three attempts, a response lost, another version between": Scope(
        ("Ao", "Co", *GROUP_EVENTS), 6, ("Ao", "confirm", "commit", "Ao")
    ),
    "owner lost between commit and response": Scope(
        ("A0", "A1", "Co", *GROUP_EVENTS), 5, ("Ao", "confirm", "new owner, kept")
    ),
    "on top of one another": Scope(("Ao", "Co", *GROUP_EVENTS), 6),
    "reads": Scope(("Ao", "R0", "R1", *GROUP_EVENTS), 5, ("Ao", "confirm")),
    "brought up to date by a snapshot": Scope(("Ao", "Co", "install", *GROUP_EVENTS), 6),
    "more changes than digests": Scope(("Ao", "Co", "Do", "install", *GROUP_EVENTS), 5, remembered=1),
    "more changes than two digests": Scope(
        ("Ao", "Bo", "Do", "confirm", "commit", "new owner, kept"),
        5,
        ("Ao", "confirm", "commit", "Co", "confirm", "commit"),
        remembered=2,
    ),
}

SEQUENCES = {  # number per scope, to verify that the search is exhaustive
    "two operators, one number": 3_754,
    "PUT against PATCH": 3_546,
    "three attempts, a response lost, another version between": 6_443,
    "owner lost between commit and response": 5_011,
    "on top of one another": 5_285,
    "reads": 6_802,
    "brought up to date by a snapshot": 5_377,
    "more changes than digests": 3_514,
    "more changes than two digests": 1_075,
}


@dataclass
class Search:
    """Searches a scope with a build."""

    build: Build
    scope: Scope
    count: int = 0

    def run(self, played: tuple[str, ...] = ()) -> str:
        """The first sequence beginning with `played` that violates a rule, or ""."""
        simulation = Simulation(self.build)
        for event in self.scope.beginning + played:
            simulation.play(event)
        next_events = [event for event in self.scope.events if simulation.changes(event)]
        self.count += 1
        rule = simulation.verdict()
        if rule:
            return f"{rule}: {', '.join(self.scope.beginning + played)}"
        if len(played) < self.scope.length:
            for event in next_events:
                violation = self.run((*played, event))
                if violation:
                    return violation
        return ""


def search(build: type[ChangeProcessor], state: type[ConfigurationState], scope: Scope) -> tuple[int, str]:
    """The number of sequences played, and the first that violates a rule, or ""."""
    search_run = Search(Build(build, state, scope.remembered), scope)
    violation = search_run.run()
    return search_run.count, violation


# ---- broken builds


class WithoutConfirmation(ChangeProcessor):
    """Broken build: gives results without contact to a majority."""

    def submit(self, request: ChangeRequest) -> Deferred[OperatorResult]:
        if not self.group.is_owner():
            return super().submit(request)
        result: Deferred[OperatorResult] = Deferred()
        self._ownership_confirmed(PendingChange(request, request.digest(), result))
        return result


class ReadWithoutConfirmation(ChangeProcessor):
    """Broken build: answers a read from local state."""

    def read(self) -> Deferred[OperatorResult]:
        return succeed(self._current()) if self.group.is_owner() else super().read()


class EvaluatedBefore(ChangeProcessor):
    """Broken build: evaluates changes on arrival instead of after the confirmation of ownership."""

    def submit(self, request: ChangeRequest) -> Deferred[OperatorResult]:
        result_before_confirmation = super()._evaluate(PendingChange(request, request.digest(), Deferred()))
        if isinstance(result_before_confirmation, OperatorResult) and result_before_confirmation.decided:
            return self.group.barrier().addCallbacks(
                lambda _: result_before_confirmation, lambda _: operator_result(ResultCode.NOT_OWNER)
            )
        return super().submit(request)


class AcknowledgedBeforeCommit(ChangeProcessor):
    """Broken build: acknowledges a change once it is proposed."""

    def _propose(self, change: PendingChange, proposed: ProposedChange) -> None:
        change.result.callback(operator_result(ResultCode.ACCEPTED, version=proposed.version))
        unacknowledged = PendingChange(change.request, change.digest, Deferred())
        super()._propose(unacknowledged, proposed)


class RejectedWhileUnknown(ChangeProcessor):
    """Broken build: rejects a change whose proposal failed, although it may still be committed."""

    def _proposal_ended(self, result: OperatorResult, change: PendingChange) -> None:
        if result.code is ResultCode.OUTCOME_UNKNOWN:
            result = operator_result(ResultCode.OTHER_VERSION)
        super()._proposal_ended(result, change)


class ForgetsAccepted(ConfigurationState):
    """Broken build: remembers no accepted change."""

    def accepted_version_of(self, digest: bytes) -> int | None:
        return None


class SnapshotWithoutDigests(ConfigurationState):
    """Broken build: snapshots lack the digests of accepted changes."""

    def restore(self, data: bytes) -> None:
        codec = RecordCodec(ConfigurationSnapshot)
        complete: ConfigurationSnapshot = codec.decode(data)
        without = replace(complete, accepted_changes=())
        super().restore(codec.encode(without))


class RejectsEvicted(ConfigurationState):
    """Broken build: rejects retries of changes that aren't remembered any more."""

    def may_have_evicted(self, base: int) -> bool:
        return False


class InterleavingTest(unittest.TestCase):
    """The search with the actual classes and with broken builds."""

    longest_test_s = 55

    def test_no_sequence_of_events_breaks_a_rule(self) -> None:
        for label, scope in SCOPES.items():
            with self.subTest(label):
                count, violation = search(ChangeProcessor, ConfigurationState, scope)
                self.assertEqual(violation, "")
                self.assertEqual(count, SEQUENCES[label])

    def assert_found(
        self, label: str, build: type = ChangeProcessor, state: type = ConfigurationState
    ) -> None:
        self.assertNotEqual(search(build, state, SCOPES[label])[1], "")

    def test_broken_no_confirmation_before_a_result(self) -> None:
        self.assert_found("two operators, one number", WithoutConfirmation)
        self.assert_found("reads", ReadWithoutConfirmation)

    def test_broken_evaluated_before_the_confirmation(self) -> None:
        self.assert_found("on top of one another", EvaluatedBefore)

    def test_broken_acknowledged_before_commit(self) -> None:
        self.assert_found("two operators, one number", AcknowledgedBeforeCommit)

    def test_broken_rejected_while_the_outcome_is_unknown(self) -> None:
        self.assert_found("two operators, one number", RejectedWhileUnknown)

    def test_broken_accepted_changes_are_forgotten(self) -> None:
        self.assert_found("three attempts, a response lost, another version between", state=ForgetsAccepted)

    def test_broken_digests_not_in_the_snapshot(self) -> None:
        self.assert_found("brought up to date by a snapshot", state=SnapshotWithoutDigests)

    def test_broken_retries_of_evicted_changes_are_rejected(self) -> None:
        self.assert_found("more changes than digests", state=RejectsEvicted)
        self.assert_found("more changes than two digests", state=RejectsEvicted)


if __name__ == "__main__":
    unittest.main()
