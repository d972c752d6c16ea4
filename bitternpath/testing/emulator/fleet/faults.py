"""Faults of a run of the fleet in virtual time, drawn from its seed; each one ends after a while."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random

from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet import plan as p
from bitternpath.testing.emulator.fleet.world import FleetWorld, Host, Link

Undo = Callable[[], None]
Fault = Callable[[FleetWorld, Random], Undo]


def _pick(random: Random, hosts: list[Host]) -> Host:
    return random.choice(hosts)


def _kill(world: FleetWorld, host: Host) -> Undo:
    if not host.alive:
        return lambda: None
    host.kill()
    return lambda: None if host.alive else host.start()  # type: ignore[attr-defined]


def kill_steward(world: FleetWorld, random: Random) -> Undo:
    return _kill(world, _pick(random, list(world.servers.values())))


def kill_leader(world: FleetWorld, random: Random) -> Undo:
    leader = world.leader()
    return _kill(world, leader) if leader is not None else lambda: None


def kill_all_stewards(world: FleetWorld, random: Random) -> Undo:
    undo_calls = [_kill(world, host) for host in world.servers.values()]

    def undo() -> None:
        for undo_call in undo_calls:
            undo_call()

    return undo


def kill_node(world: FleetWorld, random: Random) -> Undo:
    return _kill(world, _pick(random, list(world.nodes.values())))


def _stall(host: Host) -> Undo:
    host.stall()
    return host.resume


def stall_any(world: FleetWorld, random: Random) -> Undo:
    return _stall(_pick(random, world.hosts))


def stall_leader(world: FleetWorld, random: Random) -> Undo:
    leader = world.leader()
    return _stall(leader) if leader is not None else lambda: None


def _block(world: FleetWorld, pairs: list[tuple[str, str]]) -> Undo:
    def set_blocked(on: bool) -> None:
        for pair in pairs:
            world.link(*pair).blocked = on

    set_blocked(True)
    return partial(set_blocked, False)


def cut_one_way(world: FleetWorld, random: Random) -> Undo:
    sender, receiver = random.sample([host.name for host in world.hosts], 2)
    return _block(world, [(sender, receiver)])


def cut_between_stewards(world: FleetWorld, random: Random) -> Undo:
    if len(world.servers) < 2:
        return lambda: None
    sender, receiver = random.sample(list(world.servers), 2)
    return _block(
        world, [(sender, receiver), (receiver, sender)] if random.random() < 0.5 else [(sender, receiver)]
    )


def isolate(world: FleetWorld, random: Random) -> Undo:
    """Cuts one process off from all others, in one direction or both."""
    name = _pick(random, world.hosts).name
    others = [host.name for host in world.hosts if host.name != name] + ["operator"]
    draw = random.random()
    outgoing = [(name, receiver) for receiver in others if draw < 0.66]
    incoming = [(receiver, name) for receiver in others if draw > 0.33]
    return _block(world, outgoing + incoming)


def split(world: FleetWorld, random: Random) -> Undo:
    """Partitions the fleet into two groups."""
    names = [host.name for host in world.hosts]
    half = set(random.sample(names, random.randint(1, len(names) - 1)))
    return _block(world, [(a, b) for a in names for b in names if (a in half) != (b in half)])


def _set_on_all_links(world: FleetWorld, **faults: float) -> Undo:
    def undo() -> None:
        for name in faults:
            setattr(world.all_links, name, 0.0)

    for name, value in faults.items():
        setattr(world.all_links, name, value)
    return undo


def loss(world: FleetWorld, random: Random) -> Undo:
    return _set_on_all_links(world, loss=random.uniform(0.05, 0.4))


def twice(world: FleetWorld, random: Random) -> Undo:
    return _set_on_all_links(world, duplication=random.uniform(0.1, 0.8))


def late(world: FleetWorld, random: Random) -> Undo:
    return _set_on_all_links(world, max_delay=random.choice([0.05, 0.5, 3.0]))


def late_link(world: FleetWorld, random: Random) -> Undo:
    """Delays messages of one pair of processes by seconds in one direction, which also reorders them."""
    sender, receiver = random.sample([host.name for host in world.hosts], 2)
    link: Link = world.link(sender, receiver)
    link.max_delay, link.duplication = random.uniform(0.5, 6.0), 0.3

    def undo() -> None:
        link.max_delay = link.duplication = 0.0

    return undo


def slow_disk(world: FleetWorld, random: Random) -> Undo:
    server = random.choice(list(world.servers.values()))
    server.disk_delay = random.uniform(0.1, 2.0)

    def undo() -> None:
        server.disk_delay = 0.0

    return undo


def flap(world: FleetWorld, random: Random) -> Undo:
    """Servers crash and restart within milliseconds, over and over."""
    stopped: list[bool] = []

    def repeat() -> None:
        if stopped:
            return
        server = random.choice(list(world.servers.values()))
        if server.alive and not server.stalled:
            server.kill()
            world.scheduler.callLater(random.uniform(0.001, 0.05), restart, server)
        world.scheduler.callLater(random.expovariate(8.0), repeat)

    def restart(server: Host) -> None:
        if not server.alive:
            server.start()  # type: ignore[attr-defined]

    repeat()
    return lambda: stopped.append(True)


def withdraw(world: FleetWorld, random: Random) -> Undo:
    """An operator withdraws committed but unreleased changes whenever there are any."""
    stopped: list[bool] = []

    def repeat() -> None:
        leader = world.leader()
        waiting = leader.replica.record.unreleased if leader is not None else []
        if waiting:
            version = random.choice(waiting).version
            world.operator.submit(m.Withdraw(version, "somebody", "it was a mistake"))
        if not stopped:
            world.scheduler.callLater(random.expovariate(4.0), repeat)

    repeat()
    return lambda: stopped.append(True)


def pass_on(world: FleetWorld, random: Random) -> Undo:
    world.operator.submit(m.TransferLeadership(random.choice(list(world.servers))))
    return lambda: None


def remove_and_add(world: FleetWorld, random: Random) -> Undo:
    """Removes a server from the group while it runs and adds it again at the end."""
    name = random.choice(list(world.servers))
    world.operator.submit(m.ChangeMembers(remove=name))

    def undo() -> None:
        world.operator.submit(m.ChangeMembers(add=name))

    return undo


def refuse(world: FleetWorld, random: Random) -> Undo:
    """A node can't apply new versions."""
    name = random.choice(list(world.nodes))
    holder = world.nodes[name].holder
    holder.validate = lambda plan: "its own file is at odds with it"

    def undo() -> None:
        holder.validate = world.validate
        holder.rejection = ""

    return undo


FAULTS: dict[str, Fault] = {
    fault.__name__: fault
    for fault in (
        kill_steward, kill_leader, kill_all_stewards, kill_node, stall_any, stall_leader, cut_one_way,
        cut_between_stewards, isolate, split, loss, twice, late, late_link, slow_disk, pass_on,
        remove_and_add, refuse, flap, withdraw,
    )
}  # fmt: skip


def random_change(random: Random, number: int) -> p.Change:
    """A random operator change."""
    options: list[p.Change] = [
        p.SetClass("lookup", {"aim": float(50 + number)}),
        p.SetRule("allowed", "tryLimit", float(1 + number % 4)),
        p.EjectWorker(f"w{number}"),
        p.LeastRelease((0, number % 9)),
    ]
    return random.choice(options)
