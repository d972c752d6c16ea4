"""What CI makes of KNOWN-RED.txt."""

from __future__ import annotations

from pathlib import Path

import pytest

HERE = Path(__file__).parent
LINE = "tests/test_it.py::test_bad | it is broken | issue 27"


@pytest.fixture(params=["-n0", "-n2"])
def suite(pytester: pytest.Pytester, request: pytest.FixtureRequest) -> pytest.Pytester:
    """One test that fails and five that pass, under this repository's rules; in one and more processes."""
    folder = pytester.mkdir("tests")
    for name in ("conftest.py", "known_red.py"):
        (folder / name).write_text((HERE / name).read_text())
    good = "".join(f"def test_good{k}(): pass\n" for k in range(5))
    (folder / "test_it.py").write_text(f"def test_bad(): assert False\n{good}")
    pytester.makepyprojecttoml(
        "[tool.pytest.ini_options]\npythonpath = ['tests']\ntestpaths = ['tests']\n"
        f"addopts = '-p xdist {request.param}'\n"
    )
    return pytester


def run(suite: pytest.Pytester, text: str) -> tuple[int, str]:
    (suite.path / "KNOWN-RED.txt").write_text(text)
    done = suite.runpytest_subprocess("-p", "no:cacheprovider")
    return int(done.ret), done.stdout.str() + done.stderr.str()


def test_just_these_are_passed_over_and_they_are_printed(suite: pytest.Pytester) -> None:
    code, out = run(suite, f"{LINE}\n")
    assert code == 0 and "KNOWN RED tests/test_it.py::test_bad: it is broken" in out
    assert run(suite, "")[0] == 1


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("\n".join(f"tests/test_it.py::test_good{k} | c | issue 1" for k in range(4)), "4 tests, 3 at most"),
        (f"{LINE}\ntests/test_it.py::test_gone | c | issue 1", "no such test: tests/test_it.py::test_gone"),
        ("tests/test_it.py::test_bad | it is broken", "line 1: must be"),
        ("tests/test_it.py::test_bad | | issue 27", "line 1: must be"),
        (f"{LINE}\n{LINE}", "line 2: must be"),
        (f"{LINE}\ntests/test_it.py::test_good0 | c | issue 1", "XPASS(strict)"),
    ],
)
def test_all_else_fails(suite: pytest.Pytester, text: str, says: str) -> None:
    code, out = run(suite, text)
    assert code != 0 and says in out
