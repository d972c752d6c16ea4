"""Connections that break at each step, on both sides: before, inside and after each frame."""

from __future__ import annotations

import pytest
from amqp_disconnects import disconnect_points, run_scenario


@pytest.mark.parametrize("shutdown", [False, True], ids=["", "sigterm"])
@pytest.mark.parametrize("key", ["reminder", "lookup"])
def test_a_disconnect_at_any_byte_violates_no_rule(key: str, shutdown: bool) -> None:
    # Guards against lost answers, repeated unsafe runs, contradicting answers and requests pending for ever.
    points = list(disconnect_points(key, shutdown))
    assert len(points) >= 60 and {(point.peer, point.direction) for point in points} == {
        (peer, direction) for peer in ("publisher", "worker") for direction in ("in", "out")
    }
    for second_subscriber in (False, True):
        for point in points:
            outcome = run_scenario(key, point, shutdown, second_subscriber)
            assert not outcome.violations, (point, second_subscriber, outcome)


def test_a_safe_class_is_served_wherever_its_first_subscriber_disconnects() -> None:
    # Guards against failing a safe request that could have been retried at the other subscriber in time.
    points = [point for point in disconnect_points("lookup", False) if point.peer == "worker"]
    outcomes = [run_scenario("lookup", point, False, True) for point in points]
    assert [outcome.answers for outcome in outcomes] == [["served"]] * len(points)
    # Some jobs ran before the connection broke: a second run is allowed for a safe class.
    assert max(outcome.runs for outcome in outcomes) == 2


def test_an_unsafe_class_runs_at_most_once_and_is_served_if_its_result_is_known() -> None:
    points = [point for point in disconnect_points("reminder", False) if point.peer == "worker"]
    outcomes = {point: run_scenario("reminder", point, False, True) for point in points}
    assert all(outcome.runs <= 1 for outcome in outcomes.values())
    answers_by_frame = {
        point.position.split("+")[0]: outcome.answers
        for point, outcome in outcomes.items()
        if point.direction == "in"
    }
    assert answers_by_frame["Basic.Ack"] == ["served"]
    after_ack = [
        point for point in points if point.direction == "in" and point.position.startswith("Basic.Ack")
    ]
    assert after_ack and all(outcomes[point].answers == ["served"] for point in after_ack)
