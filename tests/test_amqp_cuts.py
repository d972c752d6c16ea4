"""The connection is cut at every step, on both sides, before, inside and after each frame."""

from __future__ import annotations

import pytest
from amqp_cuts import points, tell


@pytest.mark.parametrize("ending", [False, True], ids=["", "sigterm"])
@pytest.mark.parametrize("key", ["reminder", "lookup"])
def test_a_cut_at_every_step_keeps_every_rule(key: str, ending: bool) -> None:
    # Guards: lost answers, unsafe runs twice, answers that disagree, and requests that are owed for ever.
    cuts = list(points(key, ending))
    assert len(cuts) >= 60 and {(cut.whose, cut.way) for cut in cuts} == {
        (whose, way) for whose in ("publisher", "worker") for way in ("in", "out")
    }
    for second in (False, True):
        for cut in cuts:
            story = tell(key, cut, ending, second)
            assert not story.broken, (cut, second, story)


def test_a_safe_class_is_served_wherever_its_first_subscriber_is_cut() -> None:
    # Guards: what may run again has to go elsewhere while there is time; a cut costs it nothing.
    cuts = [cut for cut in points("lookup", False) if cut.whose == "worker"]
    stories = [tell("lookup", cut, False, True) for cut in cuts]
    assert [story.answers for story in stories] == [["served"]] * len(cuts)
    assert max(story.runs for story in stories) == 2  # some had run when the wire broke: that is allowed here


def test_an_unsafe_class_runs_at_most_once_and_is_served_where_its_result_is_known() -> None:
    cuts = [cut for cut in points("reminder", False) if cut.whose == "worker"]
    stories = {cut: tell("reminder", cut, False, True) for cut in cuts}
    assert all(story.runs <= 1 for story in stories.values())
    outcomes = {cut.where.split("+")[0]: story.answers for cut, story in stories.items() if cut.way == "in"}
    assert outcomes["Basic.Ack"] == ["served"]
    known = [cut for cut in cuts if cut.way == "in" and cut.where.startswith("Basic.Ack")]
    assert known and all(stories[cut].answers == ["served"] for cut in known)
