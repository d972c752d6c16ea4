"""What was found to go wrong with forty dispatchers and sixty workers, each on the module alone."""

from __future__ import annotations

from collections import Counter

from helpers import Talk, sends

from bitternpath import messages as m

NODES, WORKERS = 40, 60


def fleet(workers: int = WORKERS, **more: object) -> list[Talk]:
    return [
        Talk(workers=workers, seed=k, me=k, dispatchers=NODES, tells_start=True, **more) for k in range(NODES)
    ]


def test_dispatchers_that_know_nothing_of_each_other_spread_their_jobs_evenly() -> None:
    """Each took workers at random: a third of the jobs met others while a third of the workers had none."""
    got = Counter(send.worker for talk in fleet() for n in range(2) for send in sends(talk.ask(f"r{n}")))
    assert sum(got.values()) == 2 * NODES
    assert len(got) > 0.85 * WORKERS  # 44 of 60 at random
    assert max(got.values()) <= 4


def test_jobs_one_after_the_other_use_few_workers_and_so_few_connections() -> None:
    """Every worker was new to the node: a handshake for nearly each job, and nothing learned of any."""
    for talk in fleet()[:5]:
        used = Counter[str]()
        for n in range(100):
            (send,) = sends(talk.ask(f"r{n}"))
            talk.say(m.JobNote(f"r{n}", 0, send.worker), 1.0)
            talk.end(f"r{n}", send.worker, m.How.OK, after=100.0)
            used[send.worker] += 1
        assert sum(n for _, n in used.most_common(3)) > 80


def test_jobs_beyond_the_places_of_the_homes_go_elsewhere() -> None:
    (talk,) = fleet()[:1]
    at = Counter(send.worker for n in range(30) for send in sends(talk.ask(f"r{n}")))
    assert len(at) > 15 and max(at.values()) <= 4
