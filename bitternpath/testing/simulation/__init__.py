"""The whole service in virtual time: real roles on virtual reactors, simulated links and simulated disks.

One `World` is one run. It is played by one seed in one Python process, without sockets, threads or sleeps;
the same seed gives the same run. Nodes run `roles.edge_process.EdgeProcess` and
`roles.storage_process.StorageProcess` as they are.

The interface between the world and its actors (operators, clients, workers, the platform, receivers of
call-backs):

    from bitternpath.testing.simulation.world import World, Plan

    world = World(seed, Plan(core_edges=3, other_edges=1, storages=3, tolerated_machines=1))
    world.now                     seconds of virtual time since the run began
    world.run_until(seconds)      plays all events up to that moment; raises what a callback of an
                                  actor or of the world raised (failures in nodes go to `world.failures`)
    world.at(seconds, call, *args) calls outside of all hosts at that moment; a timer with `cancel()`
    world.random(name)            a `Random` of the run's seed for one purpose; the same name, the same one
    world.host(ip)                the reactor of an actor's host at that address (made where there is none):
                                  `seconds`, `callLater`, `callWhenRunning`, `callFromThread`, `listenTCP`,
                                  `connectTCP`, `listenUDP`, the name resolver that endpoints ask for; good
                                  for `twisted.web` servers and agents, treq, klein, and own protocols.
                                  Pass it wherever a library takes a reactor: the global one never runs.
    world.platform_address        `ip:port` where nodes look for the platform's list; listen there with
                                  `world.host(PLATFORM_IP).listenTCP(PLATFORM_PORT, site)`
    world.nodes                   dict of `SimulatedNode` by name, in their order: `name`, `role` ("edge" or
                                  "storage"), `ip`, `zone`, `counted`, `has_disk`, `front`, `readiness`,
                                  `control` ("ip:port", "" where the role doesn't serve it), and `state`
                                  (`NodeState.UP`, `DOWN`, `FROZEN`, `REMOVED`)
    world.edges(), world.storages() those of one role that aren't removed
    world.start()                 starts all nodes within 0.3 s, in the seed's order

`Plan(logs=SMALL_LOGS)` makes logs so small that a short run has snapshots, transfers and checkpoints.

Faults, each at once (use `world.at` for later); all by node name:

    world.kill(name, down_s=0.5)         the process ends, peers are reset, it starts again after `down_s`
    world.lose_power(name, down_s=1.0)   silence for the peers, unsynced writes present, missing or torn
    world.wipe(name, down_s=1.0)         as a loss of power, with an empty disk afterwards
    world.freeze(name), world.thaw(name)       time goes on, no code runs; due calls run at the thaw
    world.slow(name, factor)                   multiplies delays of the node's links and disk; 1.0 is normal
    world.partition(a, b, both=True)           between nodes or hosts (names or IPs)
    world.heal_partition(a, b)                 retransmits packets that the partition held back
    world.isolate(name, others=None)           a partition from `others`, by default from all hosts
    world.heal_host(name)                      heals all partitions of a host
    world.reset(a, b)                          all connections between two hosts; bytes in flight are lost
    world.limit_bandwidth(a, b, bytes_per_s)   of a link, in each direction; None: no limit
    world.set_packet_loss(a, b, share)         datagrams are lost, packets of connections retransmitted
    world.step_clock(name, milliseconds)       the time of day jumps
    world.stall_disk(name, seconds)
    world.limit_disk(name, free_bytes)
    world.terminate(name)                      SIGTERM; starts again after `down_s` unless it was removed
    world.reload(name, **settings)             other settings in its file, then SIGHUP
    world.disk(name)                           its `SimulatedFileSystem`
    world.add_node(role, ...) -> SimulatedNode an empty one, started at once
    world.replace(name) -> SimulatedNode       removed for good; an empty one at another address replaces it
    world.remove(name)                         removed for good

What happened: `world.trace` (one line an event; `world.digest()` covers every byte that arrived),
`world.failures` (tracebacks that nodes logged), `world.log` (the nodes' log lines, where `Plan.keep_log` is
set); of replica groups `world.ownerships` (time, node, group, epoch, gained or lost) and `world.violations`
(one owner for each epoch, committed entries are never lost). See `tests/system/small_actors.py` for minimal
actors.
"""
