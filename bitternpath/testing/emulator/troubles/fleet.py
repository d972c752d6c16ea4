"""What goes wrong with a fleet's stewards and the links to them, and what its operator types; on sockets."""

from __future__ import annotations

from random import Random
from typing import Any

from bitternpath.balancer.fleet import plan as p
from bitternpath.testing.emulator.troubles.register import Active, trouble


@trouble("fleet-changes")
def fleet_changes(world: Any, active: Active, random: Random) -> None:
    """The operator changes something every `size` s."""
    over: list[bool] = []
    number = [0]

    def again() -> None:
        if over:
            return
        number[0] += 1
        name = random.choice([spec.name for spec in world.scenario.classes])
        aim = next(spec.aim for spec in world.scenario.classes if spec.name == name)
        changes = [
            p.SetClass(name, {"aim": aim + number[0]}),
            p.SetRule("allowed", "tryLimit", float(4 + number[0] % 3)),
        ]
        world.fleet.change(random.choice(changes))
        world.later.callLater(max(active.size, 0.1), again)

    again()
    active.undo = lambda: over.append(True)


@trouble("fleet-ban")
def fleet_ban(world: Any, active: Active, random: Random) -> None:
    """A calendar worker is banned at all nodes, and called back at the end."""
    worker = random.choice(sorted(world.workers))
    active.on = [worker]
    banned: list[int] = []

    def known(version: int) -> None:
        banned.append(version)
        world.fleet.bans[worker] = version

    def undo() -> None:
        world.fleet.bans.pop(worker, None)
        for node in world.nodes:
            world.checker.called_back(node, worker)
        if banned:
            world.fleet.change(p.ReinstateWorker(worker))

    world.fleet.change(p.EjectWorker(worker), known)
    active.undo = undo


def _stewards(world: Any, active: Active, random: Random) -> list[Any]:
    """`part` of those that run, one at least."""
    up = sorted(name for name, steward in world.fleet.stewards.items() if steward.up)
    active.on = sorted(random.sample(up, min(max(round(active.part * len(up)), 1), len(up))))
    return [world.fleet.stewards[name] for name in active.on]


def _leader(world: Any, active: Active) -> list[Any]:
    known = world.fleet.leads()
    if known is None:
        return []
    active.on = [str(known["leader"]).partition(".")[0]]
    return [world.fleet.stewards[name] for name in active.on]


def _killed(active: Active, stewards: list[Any]) -> None:
    for steward in stewards:
        steward.kill()

    def undo() -> None:
        for steward in stewards:
            if not steward.up:
                steward.start()

    active.undo = undo


def _stalled(active: Active, stewards: list[Any]) -> None:
    for steward in stewards:
        steward.stop()

    def undo() -> None:
        for steward in stewards:
            steward.resume()

    active.undo = undo


@trouble("kill-stewards")
def kill_stewards(world: Any, active: Active, random: Random) -> None:
    """A part of them is killed, and started again at the end."""
    _killed(active, _stewards(world, active, random))


@trouble("kill-leader")
def kill_leader(world: Any, active: Active, random: Random) -> None:
    """The one that leads now."""
    _killed(active, _leader(world, active))


@trouble("stall-stewards")
def stall_stewards(world: Any, active: Active, random: Random) -> None:
    """A part of them is stopped (SIGSTOP), and goes on at the end."""
    _stalled(active, _stewards(world, active, random))


@trouble("stall-leader")
def stall_leader(world: Any, active: Active, random: Random) -> None:
    """The one that leads now."""
    _stalled(active, _leader(world, active))


def _some_relays(world: Any, active: Active, random: Random) -> list[Any]:
    """`part` of the links to stewards, one at least."""
    pairs = sorted(world.fleet.relays)
    chosen = random.sample(pairs, min(max(round(active.part * len(pairs)), 1), len(pairs)))
    active.on = [f"{one} to {other}" for one, other in sorted(chosen)]
    return [world.fleet.relays[pair] for pair in chosen]


def _mended(active: Active, relays: list[Any]) -> None:
    def undo() -> None:
        for relay in relays:
            relay.mend()

    active.undo = undo


@trouble("cut-fleet-links")
def cut_fleet_links(world: Any, active: Active, random: Random) -> None:
    """Silently, one way or both."""
    relays = _some_relays(world, active, random)
    for relay in relays:
        way = random.random()
        relay.cut(there=way < 0.67, back=way > 0.33)
    _mended(active, relays)


@trouble("slow-fleet-links")
def slow_fleet_links(world: Any, active: Active, random: Random) -> None:
    """`size` s late each way, and `extra` bytes a second where that is not 0."""
    relays = _some_relays(world, active, random)
    for relay in relays:
        for way in (relay.there, relay.back):
            way.delay, way.rate = active.size, active.extra
    _mended(active, relays)


@trouble("reset-fleet-links")
def reset_fleet_links(world: Any, active: Active, random: Random) -> None:
    """Connections are reset, and come up again."""
    for relay in _some_relays(world, active, random):
        relay.reset()


@trouble("half-open-fleet-links")
def half_open_fleet_links(world: Any, active: Active, random: Random) -> None:
    """New connections are accepted and lead nowhere."""
    relays = _some_relays(world, active, random)
    for relay in relays:
        relay.half_open = True
        relay.reset()
    _mended(active, relays)


@trouble("cut-fleet-site")
def cut_fleet_site(world: Any, active: Active, random: Random) -> None:
    """A site's processes reach no steward of another site, nor those theirs."""
    fleet = world.fleet
    relays = []
    for (sender, steward), relay in fleet.relays.items():
        at = active.site if sender == "operator" else fleet.site_of(sender)
        if sender != "operator" and (at == active.site) != (fleet.site_of(steward) == active.site):
            relay.cut(there=True, back=True)
            relays.append(relay)
    active.on = [active.site]
    _mended(active, relays)


FLEET = {
    "fleet-changes", "fleet-ban", "kill-stewards", "kill-leader", "stall-stewards", "stall-leader",
    "cut-fleet-links", "slow-fleet-links", "reset-fleet-links", "half-open-fleet-links", "cut-fleet-site",
}  # fmt: skip
