"""Calls of an operator in the second after a take-over of the configuration, in the whole service."""

from __future__ import annotations

import unittest

from tests.system.small_actors import Answer, SmallSystem

JOINED_BEFORE_S = (
    0.02,
    0.1,
    0.2,
    0.3,
    0.45,
    0.6,
    0.9,
)  # from the start of the new machine to the kill of the owner
RETRY_FOR_S = 5.0  # `ack_ms`: how long an operator repeats a call
RETRY_INTERVAL_S = 0.1


def owner_of_configuration(system: SmallSystem) -> str:
    """The node that gained the ownership of the configuration last."""
    gained = [
        change for change in system.world.ownerships if change.group == "configuration" and change.gained
    ]
    return gained[-1].node


class RetirementsInATakeOver(unittest.TestCase):
    """Retirement after a fourth storage machine joined and the configuration's owner was killed."""

    longest_test_s = 25

    def test_a_valid_request_is_never_permanently_refused(self) -> None:
        for joined_before_s in JOINED_BEFORE_S:
            with self.subTest(joined_before_s=joined_before_s):
                answers = self.answers_after(joined_before_s)
                statuses = [answer.status for answer in answers]
                self.assertFalse([status for status in statuses if 400 <= status < 500], statuses)
                self.assertIn(200, statuses)

    def answers_after(self, joined_before_s: float) -> list[Answer]:
        """Repeat the request every 0.1 s at the remaining nodes in turn until it is accepted."""
        system = SmallSystem(f"take-over-{joined_before_s}")
        world = system.world
        system.bootstrap()
        world.run_for(2.0)
        retired = world.storages()[0].name
        world.add_node("storage")
        world.run_for(joined_before_s)
        killed = owner_of_configuration(system)
        world.kill(killed, None)
        others = [edge for edge in world.edges() if edge.name != killed]
        answers: list[Answer] = []
        for attempt in range(round(RETRY_FOR_S / RETRY_INTERVAL_S)):
            control = others[attempt % len(others)].control
            answers.append(system.caller.call("POST", control, f"/retire/{retired}", {"duration_s": 10}))
            world.run_for(RETRY_INTERVAL_S)
            if any(answer.status == 200 for answer in answers):
                break
        world.run_for(1.0)
        return answers


if __name__ == "__main__":
    unittest.main()
