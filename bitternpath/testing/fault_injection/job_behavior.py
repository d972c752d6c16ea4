"""How the workers of a test environment process jobs."""

from __future__ import annotations

from random import Random

FAILED_ATTEMPT_SHARE = 0.05  # share of attempts that are answered with 500
REJECTED_MESSAGE_SHARE = 0.02  # share of messages that every worker answers with 422
POISON_MESSAGE_SHARE = 0.02  # share of messages that every worker answers with 500


class JobBehavior:
    """Draws the duration of a job, uniform between two bounds in seconds, and its status."""

    def __init__(self, random: Random, shortest_s: float, longest_s: float) -> None:
        self._random = random
        self._shortest_s = shortest_s
        self._longest_s = longest_s
        self._stamps = 0

    def seconds(self) -> float:
        """Return the duration of the next run."""
        return self._random.uniform(self._shortest_s, self._longest_s)

    def status(self, request_id: str) -> int:
        """Return the HTTP status of a run: 200, 422 (rejected permanently) or 500 (failed).

        Permanent rejections and failures depend only on the message id; other failures are drawn per run.
        """
        draw = Random(request_id).random()
        if draw < REJECTED_MESSAGE_SHARE:
            return 422
        if (
            draw < REJECTED_MESSAGE_SHARE + POISON_MESSAGE_SHARE
            or self._random.random() < FAILED_ATTEMPT_SHARE
        ):
            return 500
        return 200

    def stamp(self, instance: str) -> str:
        """Return a unique stamp for a successful run."""
        self._stamps += 1
        return f"{instance}.{self._stamps}.{self._random.getrandbits(32):08x}"
