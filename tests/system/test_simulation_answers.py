"""Answers of the whole service in virtual time while owners of shards are frozen, partitioned and killed."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from dataclasses import dataclass, field

from tests.system.small_actors import HOST, Answer, SmallSystem, configuration
from tests.system.test_simulation_faults import FaultCase

KNOWN_AFTER_S = 2.0  # RULES, LOST: time from the acceptance after which no node answers 404 for a message
READ_TIMEOUT_S = 2.0
SEEDS = (1, 2, 3)
UNKNOWN = (404, 410)
SHARDS = ("queue-0", "queue-1", "queue-2")


def run_steps(system: SmallSystem, seconds: float, action: Callable[[], None], step_s: float = 0.25) -> None:
    """Run for a while and call `action` before each step."""
    for _ in range(round(seconds / step_s)):
        action()
        system.world.run_for(step_s)


class StatesCase(FaultCase):
    """Messages are sent continuously, and their states are read from every edge node."""

    def play(self, seed: int, fault: Callable[[], None]) -> None:
        self.system = SmallSystem(f"answers-{seed}")
        self.world = self.system.world
        self.system.bootstrap()
        self.world.run_for(2.0)
        self.sent: list[tuple[str, Answer]] = []
        self.reads: list[tuple[str, Answer]] = []
        run_steps(self.system, 3.0, self.step)
        fault()
        run_steps(self.system, 8.0, self.step)
        self.world.run_for(READ_TIMEOUT_S)

    def step(self) -> None:
        self.sent.append(self.system.send())
        known_before = self.world.now - KNOWN_AFTER_S
        for name, accepted in self.sent[-16:]:
            if accepted.status == 202 and accepted.ended < known_before:
                for edge in range(len(self.world.edges())):
                    by_message_id = self.system.state(accepted, name, edge)
                    by_request_id = self.system.state(Answer(0.0), name, edge)
                    self.reads += [(name, by_message_id), (name, by_request_id)]

    def check(self) -> None:
        accepted = [name for name, answer in self.sent if answer.status == 202]
        self.assertGreater(len(accepted), 20)
        self.assertGreater(sum(answer.status == 200 for _, answer in self.reads), 100)
        unknown = [(name, answer) for name, answer in self.reads if answer.status in UNKNOWN]
        self.assertEqual(unknown, [])
        unanswered = [(name, answer) for name, answer in self.reads if answer.status == 0]
        self.assertEqual(unanswered, [], "each read is answered in time, by 200 or 503")
        self.assertEqual(self.world.failures, [])


class States(StatesCase):
    """LOST: no 404 for a message that was accepted more than 2 s ago."""

    longest_test_s = 50

    def owner_of_first_shard(self) -> str:
        return self.owner(SHARDS[0])

    def test_frozen_owner_resumes(self) -> None:
        def stop() -> None:
            name = self.owner_of_first_shard()
            self.world.freeze(name)
            run_steps(self.system, 3.0, self.step)
            self.world.thaw(name)

        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.play(seed, stop)
                self.check()

    def test_owner_partitioned_from_other_members(self) -> None:
        def partition() -> None:
            name = self.owner_of_first_shard()
            others = [other for other in self.world.nodes if other != name and other.startswith("storage")]
            for other in others:
                self.world.partition(name, other)
            run_steps(self.system, 3.0, self.step)
            for other in others:
                self.world.heal_partition(name, other)

        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.play(seed, partition)
                self.check()

    def partition_owner_with_an_edge(self) -> None:
        """Partition an owner and an edge node together from all other storage nodes."""
        names = {self.owner_of_first_shard(), self.world.edges()[2].name}
        others = [other for other in self.world.nodes if other.startswith("storage") and other not in names]
        for name in names:
            for other in others:
                self.world.partition(name, other)
        run_steps(self.system, 3.0, self.step)
        for name in names:
            for other in others:
                self.world.heal_partition(name, other)

    def test_owner_partitioned_together_with_an_edge_node(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.play(seed, self.partition_owner_with_an_edge)
                self.check()

    def test_all_owners_killed_at_once(self) -> None:
        def kill() -> None:
            for name in [name for name in self.world.nodes if name.startswith("storage")]:
                self.world.kill(name)

        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.play(seed, kill)
                self.check()


@dataclass(slots=True)
class Job:
    """A job that a worker received, and the answers to the reports of its end."""

    request_id: str
    lease_id: str
    received_at: float
    ends: list[Answer] = field(default_factory=list)


class PullCase(FaultCase):
    """A service with pulling workers, whose calls rotate over the edge nodes."""

    def begin(self, seed: int) -> None:
        self.system = SmallSystem(f"jobs-{seed}")
        self.world = self.system.world
        self.system.bootstrap()
        document = configuration(2)
        document["services"][0]["pull_mode"] = True
        address = self.world.edges()[0].control
        put = self.system.caller.call(
            "PUT", address, "/config", document, If_Match="1", Content_Type="application/json"
        )
        self.world.run_for(3.0)
        self.assertEqual(put.status, 200)
        self.calls = 0

    def call(self, path: str, **headers: str) -> Answer:
        """Call the edge nodes in turn."""
        self.calls += 1
        edges = self.world.edges()
        front = edges[self.calls % len(edges)].front
        return self.system.caller.call("POST", front, path, b"", Host=HOST, **headers)

    def pull(self) -> Job:
        for _ in range(40):
            answer = self.call("/pull/s-1", X_Instance_Id="i-9", X_Wait_Ms="500")
            self.world.run_for(0.7)
            if answer.status == 200:
                request_id, lease_id = answer.headers["X-Request-Id"], answer.headers["X-Lease-Id"]
                return Job(request_id, lease_id, self.world.now)
        raise AssertionError("no job received")

    def end(self, job: Job, status: int = 200) -> Answer:
        """Report the end as a worker does: repeat until the answer is final."""
        for _ in range(20):
            stamp = f"stamp-{job.lease_id}"
            answer = self.call(
                f"/job-end/{job.request_id}",
                X_Lease_Id=job.lease_id,
                X_Job_Status=str(status),
                X_Server_Stamp=stamp,
            )
            self.world.run_for(0.6)
            if answer.status in (200, 409):
                job.ends.append(answer)
                return answer
        raise AssertionError("no final answer")


class Jobs(PullCase):
    """MIXED and TWICE for pulling workers."""

    def test_repeated_end_is_accepted_by_each_node_and_owner(self) -> None:
        for seed in SEEDS:
            for status in (200, 500, 503):
                with self.subTest(seed=seed, status=status):
                    self.begin(seed)
                    name, accepted = self.system.send()
                    job = self.pull()
                    self.assertEqual(job.request_id, name)
                    self.end(job, status)
                    self.end(job, status)
                    shard = accepted.headers["X-Message-Id"].partition(".")[0].removeprefix("s")
                    self.world.kill(self.owner(f"queue-{shard}"))
                    for _ in range(3):
                        self.end(job, status)
                    self.assertEqual([answer.status for answer in job.ends], [200] * 5)

    def test_at_most_one_lease_of_a_message_ends_with_success(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.begin(seed)
                _, accepted = self.system.send()
                first = self.pull()
                shard = accepted.headers["X-Message-Id"].partition(".")[0].removeprefix("s")
                owner = self.owner(f"queue-{shard}")
                self.world.freeze(owner)
                second = self.pull()  # after `visible_ms` at the new owner
                self.world.thaw(owner)
                self.assertEqual(second.request_id, first.request_id)
                self.assertNotEqual(second.lease_id, first.lease_id)
                self.assertGreaterEqual(second.received_at - first.received_at, 3.0)
                statuses = [self.end(job).status for job in (first, second, first, second)]
                self.assertEqual(statuses, [409, 200, 409, 200])


if __name__ == "__main__":
    unittest.main()
