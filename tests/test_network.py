"""The factored network compared with a direct implementation of the paper's equations."""

from __future__ import annotations

from random import Random

import pytest
from helpers import entry

from bitternpath.balancer.dispatch.workers import Worker
from bitternpath.dispatch import network


class DenseNetwork:
    """Full matrices w+ and w-, updated and solved as in section II, scaled to a mean firing rate of 1."""

    def __init__(self, n: int) -> None:
        self.n, self.threshold = n, 0.0
        start = 1 / (2 * (n - 1))
        self.plus = [[0.0 if i == j else start for i in range(n)] for j in range(n)]
        self.minus = [row[:] for row in self.plus]

    def learn(self, position: int, reward: float) -> None:
        n = self.n
        self.threshold = (
            network.ALPHA * self.threshold + (1 - network.ALPHA) * reward if self.threshold else reward
        )
        if reward == self.threshold:
            return
        strength = min(max(reward / self.threshold, self.threshold / max(reward, 1e-9)), network.PAYOFF_CAP)
        step = network.GAIN * strength / (2 * (n - 1))
        raised, lowered = (self.plus, self.minus) if reward > self.threshold else (self.minus, self.plus)
        for j in range(n):
            if j != position:
                raised[j][position] += step
            for k in range(n):
                if k not in (position, j):
                    lowered[j][k] += step / (n - 2 if n > 2 else 1)
        rate = sum(map(sum, self.plus)) + sum(map(sum, self.minus))
        for matrix in (self.plus, self.minus):
            for row in matrix:
                row[:] = [x * n / rate for x in row]

    def solve(self) -> list[float]:
        n, q = self.n, [0.5] * self.n
        for _ in range(500):
            for i in range(n):
                r = sum(self.plus[i]) + sum(self.minus[i])
                excite = sum(q[j] * self.plus[j][i] for j in range(n))
                inhibit = sum(q[j] * self.minus[j][i] for j in range(n))
                q[i] = min((0.25 + excite) / (r + inhibit), 1.0)
        return q


@pytest.mark.parametrize("n", [2, 3, 8, 25])
def test_factored_network_solves_the_papers_equations(n: int) -> None:
    rand, dense, net = Random(n), DenseNetwork(n), network.Network[Worker]()
    workers = [Worker(entry(f"w{k}")) for k in range(n)]
    for worker in workers:
        net.join(worker)
    for _ in range(300):
        at = rand.randrange(n)
        reward = rand.expovariate(1.0) * (1 + at / n)
        dense.learn(at, reward)
        net.learn(workers[at], reward)
    net.solve_q()
    assert net.threshold == pytest.approx(dense.threshold)
    expected = dense.solve()
    assert net.q == pytest.approx(expected, abs=5 * network.CONVERGED)
    assert max(expected) - min(expected) > 0.01


def test_new_network_has_equal_q() -> None:
    net = network.Network[Worker]()
    for k in range(5):
        net.join(Worker(entry(f"w{k}")))
    assert max(net.q) - min(net.q) < network.CONVERGED


def test_a_payoff_equal_to_the_threshold_or_a_single_worker_changes_nothing() -> None:
    net = network.Network[Worker]()
    one, two = Worker(entry("w0")), Worker(entry("w1"))
    net.join(one)
    net.learn(one, 3.0)
    net.learn(one, 5.0)
    assert net.plus == [0.5] and net.minus == [0.5]
    net.join(two)
    before = (net.plus[:], net.minus[:], net.plus_all, net.minus_all)
    net.learn(two, net.threshold)
    assert (net.plus, net.minus, net.plus_all, net.minus_all) == before


def test_better_worker_gets_the_higher_q_and_worse_results_punish_more() -> None:
    nets = []
    for bad in (0.5, 0.1):
        net = network.Network[Worker]()
        workers = [Worker(entry(f"w{k}")) for k in range(4)]
        for worker in workers:
            net.join(worker)
        for _ in range(20):
            for k, worker in enumerate(workers):
                net.learn(worker, bad if k == 0 else 1.0 + k / 10)
        net.solve_q()
        assert net.q[3] > net.q[0]
        nets.append(net.q[0])
    assert nets[1] < nets[0]


def test_leaving_and_joining_keep_what_was_learned_of_the_others() -> None:
    net = network.Network[Worker]()
    workers = [Worker(entry(f"w{k}", kind="x" if k < 3 else "y")) for k in range(6)]
    for worker in workers:
        net.join(worker)
    for turn in range(60):
        net.learn(workers[turn % 6], 2.0 if turn % 6 < 3 else 1.0)
    before = {w.name: net.q[net.index[w.name]] for w in workers[1:]}
    net.leave(workers[0])
    assert set(net.index) == set(before)
    after = {name: net.q[at] for name, at in net.index.items()}
    assert min(after["w1"], after["w2"]) > max(after["w3"], after["w4"], after["w5"])
    added = Worker(entry("new", kind="x"))
    net.join(added)
    assert net.q[net.index["new"]] > net.q[net.index["w4"]]
