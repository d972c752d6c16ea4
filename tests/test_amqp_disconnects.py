"""The connection is cut at every step, on both sides, before, inside and after each frame."""

from __future__ import annotations

import pytest
from amqp_disconnects import disconnect_points, run_scenario


@pytest.mark.parametrize("shutdown", [False, True], ids=["", "sigterm"])
@pytest.mark.parametrize("key", ["reminder", "lookup"])
def test_a_cut_at_every_step_keeps_every_rule(key: str, shutdown: bool) -> None:
    # Guards: lost answers, unsafe runs twice, answers that disagree, and requests that are owed for ever.
    disconnects = list(disconnect_points(key, shutdown))
    assert len(disconnects) >= 60 and {
        (disconnect.peer, disconnect.direction) for disconnect in disconnects
    } == {(peer, direction) for peer in ("publisher", "worker") for direction in ("in", "out")}
    for second_subscriber in (False, True):
        for disconnect in disconnects:
            outcome = run_scenario(key, disconnect, shutdown, second_subscriber)
            assert not outcome.violations, (disconnect, second_subscriber, outcome)


def test_a_safe_class_is_served_wherever_its_first_subscriber_is_cut() -> None:
    # Guards: what may run again has to go elsewhere while there is time; a cut costs it nothing.
    disconnects = [
        disconnect for disconnect in disconnect_points("lookup", False) if disconnect.peer == "worker"
    ]
    outcomes = [run_scenario("lookup", disconnect, False, True) for disconnect in disconnects]
    assert [outcome.answers for outcome in outcomes] == [["served"]] * len(disconnects)
    assert (
        max(outcome.runs for outcome in outcomes) == 2
    )  # some had run when the wire broke: that is allowed here


def test_an_unsafe_class_runs_at_most_once_and_is_served_where_its_result_is_known() -> None:
    disconnects = [
        disconnect for disconnect in disconnect_points("reminder", False) if disconnect.peer == "worker"
    ]
    outcomes = {disconnect: run_scenario("reminder", disconnect, False, True) for disconnect in disconnects}
    assert all(outcome.runs <= 1 for outcome in outcomes.values())
    answers_by_frame = {
        disconnect.position.split("+")[0]: outcome.answers
        for disconnect, outcome in outcomes.items()
        if disconnect.direction == "in"
    }
    assert answers_by_frame["Basic.Ack"] == ["served"]
    after_ack = [
        disconnect
        for disconnect in disconnects
        if disconnect.direction == "in" and disconnect.position.startswith("Basic.Ack")
    ]
    assert after_ack and all(outcomes[disconnect].answers == ["served"] for disconnect in after_ack)
