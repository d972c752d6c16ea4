"""Checks a history against the rules (RULES, "Messages", "Requests and answers"). Pure functions."""

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

# A success counts as read by its sender if the worker answered at least this long before the time-out.
READ_MARGIN_S = 0.05
VISIBLE_SLACK_S = 0.1  # maximum time from the grant of a lease by the owner to its arrival at the worker
CEILING_ALLOWANCE = 5  # arrivals allowed over the rate in any window (RULES, CEILING)


class Rule(Enum):
    """Rules that can be violated."""

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
    """A violated rule; `request_id` is empty if the violation does not concern a single message."""

    rule: Enum  # a `Rule`, or a rule that only the checkers of simulated runs have
    request_id: str
    text: str


def check(history: History, parameters: RuleParameters) -> list[Violation]:
    """Return all violations of a history."""
    return [violation for checker in CHECKS for violation in checker(history, parameters)]


def ended_times(history: History, parameters: RuleParameters) -> dict[str, float]:
    """Return the time at which each message has ended, at the latest by its retention (RULES, "Ended")."""
    accepted_ends = {(end.lease_id, end.status) for end in history.ends if end.accepted}
    failures: Counter[str] = Counter()
    ended = {request_id: send.at + parameters.retention_s for request_id, send in history.sends.items()}
    for answer in history.answers:
        if answer.lease_id and (answer.lease_id, answer.status) not in accepted_ends:
            continue
        if answer.status == 500:
            failures[answer.request_id] += 1
            if failures[answer.request_id] < parameters.max_attempts:
                continue
        ended[answer.request_id] = min(answer.at, ended.get(answer.request_id, inf))
    return ended


def check_lost(history: History, parameters: RuleParameters) -> Iterator[Violation]:
    """Accepted messages run, and are stored with their bodies until they have ended."""
    ended = ended_times(history, parameters)
    started = {run.request_id for run in history.runs if run.at <= history.finished}
    for send in history.accepted():
        final_state = history.final_states.get(send.request_id)
        if ended[send.request_id] <= history.finished:
            if final_state is not None and not final_state.state:
                yield Violation(Rule.LOST, send.request_id, "has ended, but its state could not be read")
            continue
        if final_state is None or final_state.body != send.body:
            yield Violation(
                Rule.LOST, send.request_id, "has not ended, but its body could not be read unchanged"
            )
        elif final_state.state != "queued":
            yield Violation(
                Rule.LOST, send.request_id, f"has not ended but is reported as {final_state.state!r}"
            )
        elif send.request_id not in started:
            yield Violation(Rule.LOST, send.request_id, "never ran")
        else:
            yield Violation(Rule.LOST, send.request_id, "ran and never ended")


def check_lost_answers(history: History, parameters: RuleParameters) -> Iterator[Violation]:
    """A node that is stopped as planned answers every request that it has read."""
    unplanned = [outage for outage in history.outages if not outage.planned]
    for send in history.sends.values():
        exceeds_slack = send.ended_at - send.at > parameters.loss_slack_s
        if (
            not send.connection_closed
            or not exceeds_slack
            or _overlaps_outage(unplanned, send.at - parameters.contact_s, send.ended_at)
        ):
            continue
        if any(
            stop.node == send.node and stop.planned and stop.at <= send.ended_at <= stop.until
            for stop in history.outages
        ):
            yield Violation(Rule.LOST, send.request_id, f"{send.node} was stopped and did not answer it")


def check_order(history: History, parameters: RuleParameters) -> Iterator[Violation]:
    """A message starts after all messages with its key that were accepted before it was sent have ended."""
    ended = ended_times(history, parameters)
    by_key: dict[str, list[Send]] = defaultdict(list)
    for send in history.accepted():
        if send.order_key:
            by_key[send.order_key].append(send)
    for run in history.runs:
        send_of_run = history.sends.get(run.request_id)
        for earlier_send in (
            by_key[send_of_run.order_key] if send_of_run is not None and send_of_run.order_key else ()
        ):
            if earlier_send.ended_at < send_of_run.at and ended[earlier_send.request_id] > run.at:  # type: ignore[union-attr]
                text = (
                    f"started at {run.at:.3f}, before {earlier_send.request_id} with the same key had ended"
                )
                yield Violation(Rule.ORDER, run.request_id, text)


def check_two_ends(history: History, parameters: RuleParameters) -> Iterator[Violation]:
    """The success of at most one lease of a message is accepted, and no accepted end is refused later."""
    successful_leases: dict[str, set[str]] = defaultdict(set)
    accepted_ends: set[tuple[str, int]] = set()
    for end in history.ends:
        if end.accepted:
            accepted_ends.add((end.lease_id, end.status))
            if _succeeded(end):
                successful_leases[end.request_id].add(end.lease_id)
        elif (end.lease_id, end.status) in accepted_ends:
            text = f"the end of lease {end.lease_id} was accepted before and is refused now"
            yield Violation(Rule.TWICE, end.request_id, text)
    for request_id, leases in successful_leases.items():
        if len(leases) > 1:
            yield Violation(
                Rule.TWICE, request_id, f"successes of the leases {sorted(leases)} were all accepted"
            )


def check_runs_again(history: History, parameters: RuleParameters) -> Iterator[Violation]:
    """No run follows a success that its sender has read, unless there was an unplanned outage.

    The outage must overlap the time from `contact_ms` before the successful run to the next run: it may have
    ended the process that held the success.
    """
    unplanned = [outage for outage in history.outages if not outage.planned]
    successes = _acknowledged_successes(history, parameters)
    for run in history.runs:
        success = successes.get(run.request_id)
        if success is None or run.at <= success.read_at:
            continue
        if not _overlaps_outage(unplanned, success.started_at - parameters.contact_s, run.at):
            text = f"ran at {run.at:.3f} after its success at {success.read_at:.3f}"
            yield Violation(Rule.TWICE, run.request_id, text)


def check_visible(history: History, parameters: RuleParameters) -> Iterator[Violation]:
    """A pulled job is leased again only `visible_ms` after its grant or last extension, or after its end."""
    lease_extensions: dict[str, list[float]] = defaultdict(list)
    for extension in history.lease_extensions:
        lease_extensions[extension.lease_id].append(extension.at)
    # An end can take effect as soon as it was sent, however late it is answered.
    end_sent_at = {answer.lease_id: answer.at for answer in history.answers if answer.lease_id}
    latest_runs: dict[str, Run] = {}
    for run in history.runs:
        previous_run = latest_runs.get(run.request_id)
        if not run.lease_id:
            continue
        latest_runs[run.request_id] = run
        if previous_run is None or end_sent_at.get(previous_run.lease_id, inf) <= run.at:
            continue
        extension_times = [at for at in lease_extensions[previous_run.lease_id] if at < run.at]
        if run.at < max([previous_run.at, *extension_times]) + parameters.visible_s - VISIBLE_SLACK_S:
            text = f"leased again at {run.at:.3f} while lease {previous_run.lease_id} was valid"
            yield Violation(Rule.VISIBLE, run.request_id, text)


def check_ceiling(history: History, parameters: RuleParameters) -> Iterator[Violation]:
    """Arrivals at a rate-limited service stay within the limit in each sliding window."""
    for service, rate in parameters.rates.items():
        arrival_times = sorted(arrival.at for arrival in history.arrivals if arrival.service == service)
        max_arrivals = rate * parameters.ceiling_window_s * parameters.origin_rate_over + CEILING_ALLOWANCE
        for index, start in enumerate(arrival_times):
            count = bisect_left(arrival_times, start + parameters.ceiling_window_s) - index
            if count > max_arrivals:
                text = f"{count} arrivals at {service} from {start:.3f} on, {max_arrivals:.1f} are allowed"
                yield Violation(Rule.CEILING, "", text)
                break


def check_mixed(history: History, parameters: RuleParameters) -> Iterator[Violation]:
    """`done` has the stamp of a run, `dead_letter` is reported after the end, and bodies are unchanged."""
    stamps: dict[str, set[str]] = defaultdict(set)
    for answer in history.answers:
        if answer.stamp:
            stamps[answer.request_id].add(answer.stamp)
    ended = ended_times(history, parameters)
    reported_states = [
        *(
            (final_state.request_id, final_state.at, final_state.state, final_state.stamp)
            for final_state in history.final_states.values()
        ),
        *(
            (callback.request_id, callback.at, callback.state, callback.stamp)
            for callback in history.callbacks
        ),
    ]
    for request_id, at, state, stamp in reported_states:
        if state == "done" and stamp not in stamps[request_id]:
            yield Violation(Rule.MIXED, request_id, f"reported as done with the stamp {stamp!r} of no run")
        if state == "dead_letter" and ended.get(request_id, inf) > at:
            yield Violation(Rule.MIXED, request_id, f"reported as dead at {at:.3f}, before its end")
    for final_state in history.final_states.values():
        send = history.sends.get(final_state.request_id)
        if send is not None and final_state.body is not None and final_state.body != send.body:
            yield Violation(Rule.MIXED, final_state.request_id, "its body was read with different bytes")


def check_refused(history: History, parameters: RuleParameters) -> Iterator[Violation]:
    """A message whose answer promised that it does not run never runs."""
    for run in history.runs:
        send = history.sends.get(run.request_id)
        if send is not None and send.outcome is SendOutcome.NOT_EXECUTED:
            text = f"was refused with {send.status} at {send.ended_at:.3f} but ran at {run.at:.3f}"
            yield Violation(Rule.REFUSED, run.request_id, text)


def check_unasked(history: History, parameters: RuleParameters) -> Iterator[Violation]:
    """Workers run only messages that clients sent, unchanged."""
    for run in history.runs:
        send = history.sends.get(run.request_id)
        if send is None:
            yield Violation(Rule.UNASKED, run.request_id, "ran, but no client sent it")
        elif (run.method, run.target, run.body) != ("POST", send.target, send.body):
            yield Violation(
                Rule.UNASKED, run.request_id, f"ran with changed content, as {run.method} {run.target}"
            )


def check_early(history: History, parameters: RuleParameters) -> Iterator[Violation]:
    """A delayed message doesn't run before its delay is over."""
    for run in history.runs:
        send = history.sends.get(run.request_id)
        if send is not None and run.at < send.at + send.delay_s - parameters.early_s:
            text = f"ran {send.at + send.delay_s - run.at:.3f} s before its delay was over"
            yield Violation(Rule.EARLY, run.request_id, text)


def check_configuration(history: History, parameters: RuleParameters) -> Iterator[Violation]:
    """At most one change of each version is acknowledged, only if valid, and no older one is read back."""
    acknowledged = [order for order in history.orders if order.outcome is OrderOutcome.ACKNOWLEDGED]
    acknowledged_documents: dict[int, set[str]] = defaultdict(set)
    for order in acknowledged:
        acknowledged_documents[order.base].add(repr(order.document))
        if not order.valid:
            yield Violation(Rule.CONFIG, "", f"the invalid version {order.version} was acknowledged")
    for base, documents in acknowledged_documents.items():
        if len(documents) > 1:
            yield Violation(Rule.CONFIG, "", f"{len(documents)} changes of version {base} acknowledged")
    yield from _refused_when_repeated(history.orders)
    if acknowledged:
        yield from _check_read_back(history, max(acknowledged, key=lambda order: order.version))


def check_callbacks(history: History, parameters: RuleParameters) -> Iterator[Violation]:
    """Each ended message that has a call-back URL has had its call-back accepted."""
    ended = ended_times(history, parameters)
    delivered = {callback.request_id for callback in history.callbacks if callback.accepted}
    for send in history.accepted():
        has_ended = ended[send.request_id] <= history.finished
        if send.wants_callback and has_ended and send.request_id not in delivered:
            yield Violation(Rule.CALLBACK, send.request_id, "has ended, but no call-back was accepted")


def _succeeded(end: LeaseEnd) -> bool:
    return 200 <= end.status < 300


@dataclass(frozen=True, slots=True)
class _Success:
    """The start of a successful run, and the time at which its sender had read the answer."""

    started_at: float
    read_at: float


def _acknowledged_successes(history: History, parameters: RuleParameters) -> dict[str, _Success]:
    """Return the first success of each message that its sender has read before the time-out."""
    started_at: dict[str, float] = {}
    events: list[Run | Answer] = sorted([*history.runs, *history.answers], key=lambda event: event.at)
    successes: dict[str, _Success] = {}
    for event in events:
        if isinstance(event, Run):
            started_at[event.request_id] = event.at
            continue
        in_time = event.at <= started_at.get(event.request_id, -inf) + parameters.timeout_s - READ_MARGIN_S
        if event.status == 200 and event.read and in_time and not event.lease_id:
            successes.setdefault(event.request_id, _Success(started_at[event.request_id], event.at))
    lease_starts = {run.lease_id: run.at for run in history.runs if run.lease_id}
    for end in history.ends:
        if end.accepted and _succeeded(end):
            successes.setdefault(end.request_id, _Success(lease_starts.get(end.lease_id, end.at), end.at))
    return successes


def _overlaps_outage(outages: list[Outage], begin: float, end: float) -> bool:
    return any(outage.at <= end and outage.until >= begin for outage in outages)


def _refused_when_repeated(orders: list[OrderSent]) -> Iterator[Violation]:
    acknowledged: set[str] = set()
    for order in orders:
        change = repr((order.base, order.document))
        if order.outcome is OrderOutcome.ACKNOWLEDGED:
            acknowledged.add(change)
        elif order.outcome is OrderOutcome.REFUSED and change in acknowledged:
            text = (
                f"version {order.version} was acknowledged, but refused with {order.status} when sent again"
            )
            yield Violation(Rule.CONFIG, "", text)


def _check_read_back(history: History, newest: OrderSent) -> Iterator[Violation]:
    document = history.read_back
    version = document.get("version", 0) if isinstance(document, dict) else 0
    if not isinstance(version, int) or version < newest.version:
        text = f"version {newest.version} was acknowledged, but {version} was read back"
        yield Violation(Rule.CONFIG, "", text)
        return
    requests = [order for order in history.orders if order.version == version and order.valid]
    possible_documents = [order.document for order in requests if order.outcome is not OrderOutcome.REFUSED]
    if document not in possible_documents:
        yield Violation(Rule.CONFIG, "", f"version {version} was read back with content that was not sent")


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
