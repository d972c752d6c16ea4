"""Checks a history against the rules (RULES, "Messages", "Requests and answers"). Pure."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from math import inf

from bitternpath.testing.fault_injection.records import (
    Answer,
    History,
    LeaseEnd,
    OrderOutcome,
    OrderSent,
    Outage,
    RuleParameters,
    Run,
    Send,
    SendOutcome,
)

READ_MARGIN_S = 0.05  # a success counts as received if it was complete so long before the time-out
VISIBLE_SLACK_S = 0.1  # between a grant at the owner and its arrival at the worker
CEILING_ALLOWANCE = 5  # arrivals beyond the rate in any window (RULES, CEILING)


class Rule(Enum):
    """What can be broken."""

    LOST = "LOST"
    ORDER = "ORDER"
    TWICE = "TWICE"
    CEILING = "CEILING"
    MIXED = "MIXED"
    REFUSED = "REFUSED"
    UNASKED = "UNASKED"
    CONFIG = "CONFIG"
    CALLBACK = "CALLBACK"
    VISIBLE = "VISIBLE"
    EARLY = "EARLY"


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule; `request_id` is empty where no single message broke it."""

    rule: Enum  # a `Rule`; checkers of simulated runs have further ones
    request_id: str
    text: str


def check(history: History, parameters: RuleParameters) -> list[Violation]:
    """All violations of a history."""
    return [violation for rule in CHECKS for violation in rule(history, parameters)]


def ended_times(history: History, parameters: RuleParameters) -> dict[str, float]:
    """When each message that was sent had ended or will, by retention (RULES, "Ended")."""
    taken = {(end.lease_id, end.status) for end in history.ends if end.accepted}
    failures: Counter[str] = Counter()
    ended = {request_id: send.at + parameters.retention_s for request_id, send in history.sends.items()}
    for answer in history.answers:
        if answer.lease_id and (answer.lease_id, answer.status) not in taken:
            continue
        if answer.status == 500:
            failures[answer.request_id] += 1
            if failures[answer.request_id] < parameters.max_attempts:
                continue
        ended[answer.request_id] = min(answer.at, ended.get(answer.request_id, inf))
    return ended


def check_lost(history: History, parameters: RuleParameters) -> Iterator[Violation]:
    """Accepted messages run, and until they have ended they are kept with their bytes."""
    ended = ended_times(history, parameters)
    ran = {run.request_id for run in history.runs if run.at <= history.finished}
    for send in history.accepted():
        found = history.final_states.get(send.request_id)
        if ended[send.request_id] <= history.finished:
            if found is not None and not found.state:
                yield Violation(Rule.LOST, send.request_id, "has ended, and its state does not come back")
            continue
        if found is None or found.body != send.body:
            yield Violation(Rule.LOST, send.request_id, "has not ended, and its body does not come back")
        elif found.state != "queued":
            yield Violation(Rule.LOST, send.request_id, f"has not ended and is said to be {found.state!r}")
        elif send.request_id not in ran:
            yield Violation(Rule.LOST, send.request_id, "never ran")
        else:
            yield Violation(Rule.LOST, send.request_id, "ran and never ended")


def check_lost_answers(history: History, parameters: RuleParameters) -> Iterator[Violation]:
    """Around a planned stop, a request that was read gets its complete answer."""
    unplanned = [outage for outage in history.outages if not outage.planned]
    for send in history.sends.values():
        late = send.ended_at - send.at > parameters.loss_slack_s
        if (
            not send.connection_closed
            or not late
            or _overlaps_outage(unplanned, send.at - parameters.contact_s, send.ended_at)
        ):
            continue
        if any(
            stop.node == send.node and stop.planned and stop.at <= send.ended_at <= stop.until
            for stop in history.outages
        ):
            yield Violation(Rule.LOST, send.request_id, f"{send.node} was stopped and left it without answer")


def check_order(history: History, parameters: RuleParameters) -> Iterator[Violation]:
    """A message begins after all of its key have ended that were accepted before it was sent."""
    ended = ended_times(history, parameters)
    by_key: dict[str, list[Send]] = defaultdict(list)
    for send in history.accepted():
        if send.order_key:
            by_key[send.order_key].append(send)
    for run in history.runs:
        own_send = history.sends.get(run.request_id)
        for other in by_key[own_send.order_key] if own_send is not None and own_send.order_key else ():
            if other.ended_at < own_send.at and ended[other.request_id] > run.at:  # type: ignore[union-attr]
                text = f"began at {run.at:.3f}, before {other.request_id} of the same key had ended"
                yield Violation(Rule.ORDER, run.request_id, text)


def check_two_ends(history: History, parameters: RuleParameters) -> Iterator[Violation]:
    """At most one lease of a message has its success taken, and a taken end stays taken."""
    winners: dict[str, set[str]] = defaultdict(set)
    taken: set[tuple[str, int]] = set()
    for end in history.ends:
        if end.accepted:
            taken.add((end.lease_id, end.status))
            if _succeeded(end):
                winners[end.request_id].add(end.lease_id)
        elif (end.lease_id, end.status) in taken:
            text = f"the end of lease {end.lease_id} was taken before and is refused now"
            yield Violation(Rule.TWICE, end.request_id, text)
    for request_id, leases in winners.items():
        if len(leases) > 1:
            yield Violation(Rule.TWICE, request_id, f"ends of the leases {sorted(leases)} were all taken")


def check_runs_again(history: History, parameters: RuleParameters) -> Iterator[Violation]:
    """No run follows a success that its sender has read, unless there was an unplanned outage.

    That is: from `contact_ms` before the run with the success to the next arrival. An outage between the two
    may have taken the process that knew of the success.
    """
    unplanned = [outage for outage in history.outages if not outage.planned]
    successes = _acknowledged_successes(history, parameters)
    for run in history.runs:
        success = successes.get(run.request_id)
        if success is None or run.at <= success.read_at:
            continue
        if not _overlaps_outage(unplanned, success.run_at - parameters.contact_s, run.at):
            text = f"ran at {run.at:.3f} after its success at {success.read_at:.3f}"
            yield Violation(Rule.TWICE, run.request_id, text)


def check_visible(history: History, parameters: RuleParameters) -> Iterator[Violation]:
    """A pulled job is not handed out again before `visible_ms` have passed since its worker's last word."""
    lease_extensions: dict[str, list[float]] = defaultdict(list)
    for word in history.lease_extensions:
        lease_extensions[word.lease_id].append(word.at)
    # An end may be taken as soon as it was sent, however late its answer comes.
    released = {answer.lease_id: answer.at for answer in history.answers if answer.lease_id}
    last: dict[str, Run] = {}
    for run in history.runs:
        before = last.get(run.request_id)
        if not run.lease_id:
            continue
        last[run.request_id] = run
        if before is None or released.get(before.lease_id, inf) <= run.at:
            continue
        heard = [at for at in lease_extensions[before.lease_id] if at < run.at]
        if run.at < max([before.at, *heard]) + parameters.visible_s - VISIBLE_SLACK_S:
            text = f"handed out at {run.at:.3f} while lease {before.lease_id} was held"
            yield Violation(Rule.VISIBLE, run.request_id, text)


def check_ceiling(history: History, parameters: RuleParameters) -> Iterator[Violation]:
    """Arrivals at a limited service in each sliding window."""
    for service, rate in parameters.rates.items():
        times = sorted(arrival.at for arrival in history.arrivals if arrival.service == service)
        allowed = rate * parameters.ceiling_window_s * parameters.origin_rate_over + CEILING_ALLOWANCE
        for position, began in enumerate(times):
            count = bisect_left(times, began + parameters.ceiling_window_s) - position
            if count > allowed:
                text = f"{count} arrivals at {service} from {began:.3f} on, {allowed:.1f} are allowed"
                yield Violation(Rule.CEILING, "", text)
                break


def check_mixed(history: History, parameters: RuleParameters) -> Iterator[Violation]:
    """`done` comes with the stamp of a run, `dead_letter` after the end, a body with its own bytes."""
    stamps: dict[str, set[str]] = defaultdict(set)
    for answer in history.answers:
        if answer.stamp:
            stamps[answer.request_id].add(answer.stamp)
    ended = ended_times(history, parameters)
    reported = [
        *((found.request_id, found.at, found.state, found.stamp) for found in history.final_states.values()),
        *((call.request_id, call.at, call.state, call.stamp) for call in history.callbacks),
    ]
    for request_id, at, state, stamp in reported:
        if state == "done" and stamp not in stamps[request_id]:
            yield Violation(Rule.MIXED, request_id, f"said to be done with the stamp {stamp!r} of no run")
        if state == "dead_letter" and ended.get(request_id, inf) > at:
            yield Violation(Rule.MIXED, request_id, f"said to be dead at {at:.3f}, before its end")
    for found in history.final_states.values():
        send = history.sends.get(found.request_id)
        if send is not None and found.body is not None and found.body != send.body:
            yield Violation(Rule.MIXED, found.request_id, "its body comes back with other bytes")


def check_refused(history: History, parameters: RuleParameters) -> Iterator[Violation]:
    """What was promised not to run does not."""
    for run in history.runs:
        send = history.sends.get(run.request_id)
        if send is not None and send.outcome is SendOutcome.NOT_EXECUTED:
            text = f"was refused with {send.status} at {send.ended_at:.3f} and runs at {run.at:.3f}"
            yield Violation(Rule.REFUSED, run.request_id, text)


def check_unasked(history: History, parameters: RuleParameters) -> Iterator[Violation]:
    """Workers run what clients sent, unchanged."""
    for run in history.runs:
        send = history.sends.get(run.request_id)
        if send is None:
            yield Violation(Rule.UNASKED, run.request_id, "runs, and no client sent it")
        elif (run.method, run.target, run.body) != ("POST", send.target, send.body):
            yield Violation(Rule.UNASKED, run.request_id, f"runs changed, as {run.method} {run.target}")


def check_early(history: History, parameters: RuleParameters) -> Iterator[Violation]:
    """A delayed message doesn't run before its delay is over."""
    for run in history.runs:
        send = history.sends.get(run.request_id)
        if send is not None and run.at < send.at + send.delay_s - parameters.early_s:
            text = f"ran {send.at + send.delay_s - run.at:.3f} s before its delay was over"
            yield Violation(Rule.EARLY, run.request_id, text)


def check_configuration(history: History, parameters: RuleParameters) -> Iterator[Violation]:
    """One valid change wins on each version, and what was acknowledged last is read back."""
    acknowledged = [order for order in history.orders if order.outcome is OrderOutcome.ACKNOWLEDGED]
    winners: dict[int, set[str]] = defaultdict(set)
    for order in acknowledged:
        winners[order.base].add(repr(order.document))
        if not order.valid:
            yield Violation(Rule.CONFIG, "", f"the invalid version {order.version} was acknowledged")
    for base, documents in winners.items():
        if len(documents) > 1:
            yield Violation(Rule.CONFIG, "", f"{len(documents)} changes of version {base} acknowledged")
    yield from _refused_when_repeated(history.orders)
    if acknowledged:
        yield from _check_read_back(history, max(acknowledged, key=lambda order: order.version))


def check_callbacks(history: History, parameters: RuleParameters) -> Iterator[Violation]:
    """Each message that has ended and asked for it has had its call-back taken."""
    ended = ended_times(history, parameters)
    taken = {got.request_id for got in history.callbacks if got.accepted}
    for send in history.accepted():
        has_ended = ended[send.request_id] <= history.finished
        if send.wants_callback and has_ended and send.request_id not in taken:
            yield Violation(Rule.CALLBACK, send.request_id, "has ended, and no call-back was taken")


def _succeeded(end: LeaseEnd) -> bool:
    return 200 <= end.status < 300


@dataclass(frozen=True, slots=True)
class _Success:
    """When the run with a success began, and when its sender had read the answer."""

    run_at: float
    read_at: float


def _acknowledged_successes(history: History, parameters: RuleParameters) -> dict[str, _Success]:
    """The first success of each message that its sender has read well before the time-out."""
    began: dict[str, float] = {}
    events: list[Run | Answer] = sorted([*history.runs, *history.answers], key=lambda event: event.at)
    done: dict[str, _Success] = {}
    for event in events:
        if isinstance(event, Run):
            began[event.request_id] = event.at
            continue
        in_time = event.at <= began.get(event.request_id, -inf) + parameters.timeout_s - READ_MARGIN_S
        if event.status == 200 and event.read and in_time and not event.lease_id:
            done.setdefault(event.request_id, _Success(began[event.request_id], event.at))
    leased = {run.lease_id: run.at for run in history.runs if run.lease_id}
    for end in history.ends:
        if end.accepted and _succeeded(end):
            done.setdefault(end.request_id, _Success(leased.get(end.lease_id, end.at), end.at))
    return done


def _overlaps_outage(outages: list[Outage], begin: float, end: float) -> bool:
    return any(outage.at <= end and outage.until >= begin for outage in outages)


def _refused_when_repeated(orders: list[OrderSent]) -> Iterator[Violation]:
    taken: set[str] = set()
    for order in orders:
        change = repr((order.base, order.document))
        if order.outcome is OrderOutcome.ACKNOWLEDGED:
            taken.add(change)
        elif order.outcome is OrderOutcome.REFUSED and change in taken:
            text = (
                f"version {order.version} was acknowledged, and refused with {order.status} when sent again"
            )
            yield Violation(Rule.CONFIG, "", text)


def _check_read_back(history: History, newest: OrderSent) -> Iterator[Violation]:
    read = history.read_back
    version = read.get("version", 0) if isinstance(read, dict) else 0
    if not isinstance(version, int) or version < newest.version:
        text = f"version {newest.version} was acknowledged and {version} is read back"
        yield Violation(Rule.CONFIG, "", text)
        return
    sent = [order for order in history.orders if order.version == version and order.valid]
    possible = [order.document for order in sent if order.outcome is not OrderOutcome.REFUSED]
    if read not in possible:
        yield Violation(Rule.CONFIG, "", f"version {version} is read back and isn't what was sent")


CHECKS: tuple[Callable[[History, RuleParameters], Iterator[Violation]], ...] = (
    check_lost,
    check_lost_answers,
    check_order,
    check_two_ends,
    check_runs_again,
    check_visible,
    check_ceiling,
    check_mixed,
    check_refused,
    check_unasked,
    check_early,
    check_configuration,
    check_callbacks,
)
