"""Faults of the consensus servers and of the links to them, and operator commands; on sockets only."""

from __future__ import annotations

from random import Random
from typing import Any

from bitternpath.balancer.fleet import plan as p
from bitternpath.testing.emulator.troubles.register import ActiveFault, register_fault


@register_fault("fleet-changes")
def fleet_changes(world: Any, fault: ActiveFault, random: Random) -> None:
    """Proposes a change every `size` s."""
    stopped: list[bool] = []
    changes_submitted = [0]

    def submit_change() -> None:
        if stopped:
            return
        changes_submitted[0] += 1
        name = random.choice([spec.name for spec in world.scenario.classes])
        aim = next(spec.aim for spec in world.scenario.classes if spec.name == name)
        changes = [
            p.SetClass(name, {"aim": aim + changes_submitted[0]}),
            p.SetRule("allowed", "tryLimit", float(4 + changes_submitted[0] % 3)),
        ]
        world.fleet.change(random.choice(changes))
        world.scheduler.callLater(max(fault.size, 0.1), submit_change)

    submit_change()
    fault.undo = lambda: stopped.append(True)


@register_fault("fleet-ban")
def fleet_ban(world: Any, fault: ActiveFault, random: Random) -> None:
    """Ejects a calendar worker at all nodes and reinstates it at the end."""
    worker = random.choice(sorted(world.workers))
    fault.targets = [worker]
    versions: list[int] = []

    def accepted(version: int) -> None:
        versions.append(version)
        world.fleet.ejections[worker] = version

    def undo() -> None:
        world.fleet.ejections.pop(worker, None)
        for node in world.nodes:
            world.checker.worker_reinstated(node, worker)
        if versions:
            world.fleet.change(p.ReinstateWorker(worker))

    world.fleet.change(p.EjectWorker(worker), accepted)
    fault.undo = undo


def _pick_servers(world: Any, fault: ActiveFault, random: Random) -> list[Any]:
    """A random share (`part`) of the running servers, at least one."""
    running = sorted(name for name, server in world.fleet.servers.items() if server.alive)
    fault.targets = sorted(
        random.sample(running, min(max(round(fault.part * len(running)), 1), len(running)))
    )
    return [world.fleet.servers[name] for name in fault.targets]


def _pick_leader(world: Any, fault: ActiveFault) -> list[Any]:
    status = world.fleet.leader_status()
    if status is None:
        return []
    fault.targets = [str(status["leader"]).partition(".")[0]]
    return [world.fleet.servers[name] for name in fault.targets]


def _kill_until_end(fault: ActiveFault, servers: list[Any]) -> None:
    for server in servers:
        server.kill()

    def undo() -> None:
        for server in servers:
            if not server.alive:
                server.start()

    fault.undo = undo


def _stall_until_end(fault: ActiveFault, servers: list[Any]) -> None:
    for server in servers:
        server.stop()

    def undo() -> None:
        for server in servers:
            server.resume()

    fault.undo = undo


@register_fault("kill-stewards")
def kill_servers(world: Any, fault: ActiveFault, random: Random) -> None:
    """Kills a share of the servers and starts them again at the end."""
    _kill_until_end(fault, _pick_servers(world, fault, random))


@register_fault("kill-leader")
def kill_leader(world: Any, fault: ActiveFault, random: Random) -> None:
    """Kills the current leader and starts it again at the end."""
    _kill_until_end(fault, _pick_leader(world, fault))


@register_fault("stall-stewards")
def stall_servers(world: Any, fault: ActiveFault, random: Random) -> None:
    """Stops a share of the servers (SIGSTOP) and resumes them at the end."""
    _stall_until_end(fault, _pick_servers(world, fault, random))


@register_fault("stall-leader")
def stall_leader(world: Any, fault: ActiveFault, random: Random) -> None:
    """Stops the current leader (SIGSTOP) and resumes it at the end."""
    _stall_until_end(fault, _pick_leader(world, fault))


def _pick_relays(world: Any, fault: ActiveFault, random: Random) -> list[Any]:
    """A random share (`part`) of the links to servers, at least one."""
    pairs = sorted(world.fleet.relays)
    chosen = random.sample(pairs, min(max(round(fault.part * len(pairs)), 1), len(pairs)))
    fault.targets = [f"{sender} to {server}" for sender, server in sorted(chosen)]
    return [world.fleet.relays[pair] for pair in chosen]


def _repair_at_end(fault: ActiveFault, relays: list[Any]) -> None:
    def undo() -> None:
        for relay in relays:
            relay.repair()

    fault.undo = undo


@register_fault("cut-fleet-links")
def cut_fleet_links(world: Any, fault: ActiveFault, random: Random) -> None:
    """Drops all data silently, in one direction or both."""
    relays = _pick_relays(world, fault, random)
    for relay in relays:
        draw = random.random()
        relay.block(forward=draw < 0.67, backward=draw > 0.33)
    _repair_at_end(fault, relays)


@register_fault("slow-fleet-links")
def slow_fleet_links(world: Any, fault: ActiveFault, random: Random) -> None:
    """Delays both directions by `size` s and limits them to `extra` bytes per second (0: no limit)."""
    relays = _pick_relays(world, fault, random)
    for relay in relays:
        for direction in (relay.forward, relay.backward):
            direction.delay, direction.rate = fault.size, fault.extra
    _repair_at_end(fault, relays)


@register_fault("reset-fleet-links")
def reset_fleet_links(world: Any, fault: ActiveFault, random: Random) -> None:
    """Resets open connections; new ones work."""
    for relay in _pick_relays(world, fault, random):
        relay.reset()


@register_fault("half-open-fleet-links")
def half_open_fleet_links(world: Any, fault: ActiveFault, random: Random) -> None:
    """New connections are accepted and carry no data."""
    relays = _pick_relays(world, fault, random)
    for relay in relays:
        relay.half_open = True
        relay.reset()
    _repair_at_end(fault, relays)


@register_fault("cut-fleet-site")
def cut_fleet_site(world: Any, fault: ActiveFault, random: Random) -> None:
    """Cuts the links between processes of the site and servers of other sites, and the reverse."""
    fleet = world.fleet
    relays = []
    for (sender, server), relay in fleet.relays.items():
        sender_site = fault.site if sender == "operator" else fleet.site_of(sender)
        if sender != "operator" and (sender_site == fault.site) != (fleet.site_of(server) == fault.site):
            relay.block(forward=True, backward=True)
            relays.append(relay)
    fault.targets = [fault.site]
    _repair_at_end(fault, relays)


FLEET_KINDS = {
    "fleet-changes", "fleet-ban", "kill-stewards", "kill-leader", "stall-stewards", "stall-leader",
    "cut-fleet-links", "slow-fleet-links", "reset-fleet-links", "half-open-fleet-links", "cut-fleet-site",
}  # fmt: skip
