"""Deterministic simulation of the service: real roles on virtual reactors, simulated links and disks.

One `World` is one run, in one Python process without sockets, threads or sleeps; the same seed gives the same
run. Nodes run `roles.edge_process.EdgeProcess` and `roles.storage_process.StorageProcess` unmodified.

The interface between the world and its actors (operators, clients, workers, the platform, receivers of
call-backs):

    from bitternpath.testing.simulation.world import World, Plan

    world = World(seed, Plan(core_edges=3, other_edges=1, storages=3, tolerated_machines=1))
    world.now                     seconds of virtual time since the run began
    world.run_until(seconds)      plays all events up to that time; raises the exceptions of callbacks of
                                  actors and of the world (failures in nodes go to `world.failures`)
    world.at(seconds, call, *args) schedules a call outside of all hosts; returns a timer with `cancel()`
    world.random(name)            a `Random` derived from the run's seed, one for each name
    world.host(ip)                the reactor of an actor's host, created on first use: `seconds`,
                                  `callLater`, `callWhenRunning`, `callFromThread`, `listenTCP`,
                                  `connectTCP`, `listenUDP`, and the name resolver that endpoints use;
                                  enough for `twisted.web` servers and agents, treq, klein and custom
                                  protocols. Pass it wherever a library takes a reactor: the global one
                                  never runs.
    world.platform_address        `ip:port` from which nodes read the platform's list; listen there with
                                  `world.host(PLATFORM_IP).listenTCP(PLATFORM_PORT, site)`
    world.nodes                   dict of `SimulatedNode` by name, in order of creation: `name`, `role`
                                  ("edge" or "storage"), `ip`, `zone`, `counted`, `has_disk`, `front`,
                                  `readiness`, `control` ("ip:port", "" if the role doesn't serve it), and
                                  `state` (`NodeState.UP`, `DOWN`, `FROZEN`, `REMOVED`)
    world.edges(), world.storages() the nodes of one role, without removed ones
    world.start()                 starts all nodes within 0.3 s, in an order drawn from the seed

`Plan(logs=SMALL_LOGS)` makes logs so small that a short run has snapshots, transfers and checkpoints.

Faults take effect at once (use `world.at` to schedule one) and name nodes:

    world.kill(name, down_s=0.5)               the process ends, peers are reset; restart after `down_s`
    world.lose_power(name, down_s=1.0)         peers receive nothing; unsynced writes are kept, lost or torn
    world.wipe(name, down_s=1.0)               a loss of power that also empties the disk
    world.freeze(name), world.thaw(name)       time goes on, no code runs; due calls run at the thaw
    world.slow(name, factor)                   multiplies delays of the node's links and disk; 1.0 is normal
    world.partition(a, b, both=True)           between nodes or hosts (names or IPs)
    world.heal_partition(a, b)                 retransmits packets that the partition held back
    world.isolate(name, others=None)           a partition from `others`, by default from all hosts
    world.heal_host(name)                      heals all partitions of a host
    world.reset(a, b)                          all connections between two hosts; bytes in flight are lost
    world.limit_bandwidth(a, b, bytes_per_s)   of a link, in each direction; None: no limit
    world.set_packet_loss(a, b, share)         datagrams are lost, packets of connections retransmitted
    world.step_clock(name, milliseconds)       the wall clock jumps
    world.stall_disk(name, seconds)            completes no write for `seconds`
    world.limit_disk(name, free_bytes)         the space left on the disk; None: no limit
    world.terminate(name)                      SIGTERM; the process is restarted after its end
    world.reload(name, **settings)             changes the settings file, then sends SIGHUP
    world.disk(name)                           the node's `SimulatedFileSystem`
    world.add_node(role, ...) -> SimulatedNode adds an empty machine and starts it
    world.replace(name) -> SimulatedNode       removes a machine; an empty one at another address replaces it
    world.remove(name)                         removes a machine permanently

Records of a run: `world.trace` (one line for each event; `world.digest()` also covers every byte received),
`world.failures` (tracebacks that nodes logged), `world.log` (log lines of nodes if `Plan.keep_log` is set);
for replica groups `world.ownerships` (time, node, group, epoch, gained or lost) and `world.violations` (one
owner for each epoch, committed entries are never lost). `tests/system/small_actors.py` has minimal actors.
"""
