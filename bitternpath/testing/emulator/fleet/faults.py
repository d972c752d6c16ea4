"""What goes wrong in a run of the fleet, drawn from its seed; each fault is over after a while."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random

from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet import plan as p
from bitternpath.testing.emulator.fleet.world import FleetWorld, Host, Link

Undo = Callable[[], None]
Fault = Callable[[FleetWorld, Random], Undo]


def _some(random: Random, hosts: list[Host]) -> Host:
    return random.choice(hosts)


def _kill(world: FleetWorld, host: Host) -> Undo:
    if not host.up:
        return lambda: None
    host.kill()
    return lambda: None if host.up else host.start()  # type: ignore[attr-defined]


def kill_steward(world: FleetWorld, random: Random) -> Undo:
    return _kill(world, _some(random, list(world.stewards.values())))


def kill_leader(world: FleetWorld, random: Random) -> Undo:
    leader = world.leader()
    return _kill(world, leader) if leader is not None else lambda: None


def kill_all_stewards(world: FleetWorld, random: Random) -> Undo:
    undos = [_kill(world, host) for host in world.stewards.values()]

    def undo() -> None:
        for each in undos:
            each()

    return undo


def kill_node(world: FleetWorld, random: Random) -> Undo:
    return _kill(world, _some(random, list(world.nodes.values())))


def _stall(host: Host) -> Undo:
    host.stall()
    return host.resume


def stall_any(world: FleetWorld, random: Random) -> Undo:
    return _stall(_some(random, world.hosts))


def stall_leader(world: FleetWorld, random: Random) -> Undo:
    leader = world.leader()
    return _stall(leader) if leader is not None else lambda: None


def _cut(world: FleetWorld, pairs: list[tuple[str, str]]) -> Undo:
    def cut(on: bool) -> None:
        for pair in pairs:
            world.link(*pair).cut = on

    cut(True)
    return partial(cut, False)


def cut_one_way(world: FleetWorld, random: Random) -> Undo:
    one, other = random.sample([host.name for host in world.hosts], 2)
    return _cut(world, [(one, other)])


def cut_between_stewards(world: FleetWorld, random: Random) -> Undo:
    if len(world.stewards) < 2:
        return lambda: None
    one, other = random.sample(list(world.stewards), 2)
    return _cut(world, [(one, other), (other, one)] if random.random() < 0.5 else [(one, other)])


def isolate(world: FleetWorld, random: Random) -> Undo:
    """One process reaches nobody, or nobody reaches it."""
    name = _some(random, world.hosts).name
    others = [host.name for host in world.hosts if host.name != name] + ["operator"]
    way = random.random()
    out = [(name, other) for other in others if way < 0.66]
    back = [(other, name) for other in others if way > 0.33]
    return _cut(world, out + back)


def split(world: FleetWorld, random: Random) -> Undo:
    """The fleet in two halves."""
    names = [host.name for host in world.hosts]
    half = set(random.sample(names, random.randint(1, len(names) - 1)))
    return _cut(world, [(a, b) for a in names for b in names if (a in half) != (b in half)])


def _everywhere(world: FleetWorld, **what: float) -> Undo:
    def undo() -> None:
        for name in what:
            setattr(world.everywhere, name, 0.0)

    for name, value in what.items():
        setattr(world.everywhere, name, value)
    return undo


def loss(world: FleetWorld, random: Random) -> Undo:
    return _everywhere(world, loss=random.uniform(0.05, 0.4))


def twice(world: FleetWorld, random: Random) -> Undo:
    return _everywhere(world, twice=random.uniform(0.1, 0.8))


def late(world: FleetWorld, random: Random) -> Undo:
    return _everywhere(world, late=random.choice([0.05, 0.5, 3.0]))


def late_link(world: FleetWorld, random: Random) -> Undo:
    """One direction of one pair is seconds late, and so out of order."""
    one, other = random.sample([host.name for host in world.hosts], 2)
    link: Link = world.link(one, other)
    link.late, link.twice = random.uniform(0.5, 6.0), 0.3

    def undo() -> None:
        link.late = link.twice = 0.0

    return undo


def slow_disk(world: FleetWorld, random: Random) -> Undo:
    steward = random.choice(list(world.stewards.values()))
    steward.slow_disk = random.uniform(0.1, 2.0)

    def undo() -> None:
        steward.slow_disk = 0.0

    return undo


def flap(world: FleetWorld, random: Random) -> Undo:
    """Stewards end and come back within milliseconds, again and again."""
    over: list[bool] = []

    def again() -> None:
        if over:
            return
        steward = random.choice(list(world.stewards.values()))
        if steward.up and not steward.stalled:
            steward.kill()
            world.later.callLater(random.uniform(0.001, 0.05), back, steward)
        world.later.callLater(random.expovariate(8.0), again)

    def back(steward: Host) -> None:
        if not steward.up:
            steward.start()  # type: ignore[attr-defined]

    again()
    return lambda: over.append(True)


def withdraw(world: FleetWorld, random: Random) -> Undo:
    """Somebody takes back what is agreed and not released, whenever there is such a thing."""
    over: list[bool] = []

    def again() -> None:
        leader = world.leader()
        waiting = leader.replica.record.unreleased if leader is not None else []
        if waiting:
            version = random.choice(waiting).version
            world.operator.type(m.Withdraw(version, "somebody", "it was a mistake"))
        if not over:
            world.later.callLater(random.expovariate(4.0), again)

    again()
    return lambda: over.append(True)


def pass_on(world: FleetWorld, random: Random) -> Undo:
    world.operator.type(m.TransferLeadership(random.choice(list(world.stewards))))
    return lambda: None


def remove_and_add(world: FleetWorld, random: Random) -> Undo:
    """A steward is taken away while it runs, and added again later."""
    name = random.choice(list(world.stewards))
    world.operator.type(m.ChangeMembers(remove=name))

    def undo() -> None:
        world.operator.type(m.ChangeMembers(add=name))

    return undo


def refuse(world: FleetWorld, random: Random) -> Undo:
    """Nodes cannot take what comes now."""
    name = random.choice(list(world.nodes))
    holder = world.nodes[name].holder
    holder.validate = lambda plan: "its own file is at odds with it"

    def undo() -> None:
        holder.validate = world.check
        holder.rejection = ""

    return undo


FAULTS: dict[str, Fault] = {
    made.__name__: made
    for made in (
        kill_steward, kill_leader, kill_all_stewards, kill_node, stall_any, stall_leader, cut_one_way,
        cut_between_stewards, isolate, split, loss, twice, late, late_link, slow_disk, pass_on,
        remove_and_add, refuse, flap, withdraw,
    )
}  # fmt: skip


def change(random: Random, number: int) -> p.Change:
    """Something that an operator might want."""
    some: list[p.Change] = [
        p.SetClass("lookup", {"aim": float(50 + number)}),
        p.SetRule("allowed", "tryLimit", float(1 + number % 4)),
        p.EjectWorker(f"w{number}"),
        p.LeastRelease((0, number % 9)),
    ]
    return random.choice(some)
