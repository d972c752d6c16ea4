"""What was found to go wrong with forty dispatchers and sixty workers, each on the module alone."""

from __future__ import annotations

from collections import Counter

from helpers import Talk, entry, listing, sends

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


def test_workers_that_join_in_a_mass_carry_work_soon_and_none_is_flooded() -> None:
    """Each drew its first gap from a minute: 36 new workers stood idle while 24 had long queues."""
    run, share, multiple = 100.0, 0.25, 4.0
    cold = {"cold_share": share, "warm_within": 20_000.0, "fall_multiple": multiple, "fall_span": 1000.0}
    talks, got, tries = fleet(**cold), Counter[str](), 0
    for talk in talks:
        for n in range(40):  # what jobs take is known, and no worker is
            (send,) = sends(talk.ask(f"t{n}"))
            talk.say(m.JobNote(f"t{n}", 0, send.worker), 1.0)
            talk.end(f"t{n}", send.worker, m.How.OK, after=run)
        new = [entry(f"new{k}", up_since=talk.now) for k in range(36)]
        talk.say(listing(*[entry(f"w{k}") for k in range(24)], *new, kind=m.ListKind.WHOLE))
        start = talk.now
        while talk.now < start + 1000.0:  # far more jobs than the fleet can do: what is free is used
            for send in sends(talk.ask(f"r{tries}")):
                got[send.worker] += send.worker.startswith("new")
                talk.say(m.JobNote(f"r{tries}", 0, send.worker))
            talk.sweep(talk.d.pause)
            tries += 1
    carried = [got[f"new{k}"] * run / 1000.0 for k in range(36)]
    assert sum(n > 0 for n in carried) > 30
    assert max(carried) < multiple * 2 * share


def test_a_dispatcher_with_few_jobs_learns_of_long_waits_within_seconds() -> None:
    """With a fixed weight for each job it took twenty seconds, and all queues were long by then."""
    (talk,) = fleet()[:1]
    for n in range(12):
        for send in sends(talk.ask(f"r{n}")):
            talk.say(m.JobNote(f"r{n}", 0, send.worker), 600.0)
            talk.end(f"r{n}", send.worker, m.How.OK, after=100.0)
    assert talk.d.mean_wait > 300.0
