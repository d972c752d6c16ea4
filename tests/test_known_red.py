"""Handling of KNOWN-RED.txt by the pytest configuration of this repository."""

from __future__ import annotations

from pathlib import Path

import pytest

TESTS_DIR = Path(__file__).parent
ENTRY = "tests/test_it.py::test_bad | it is broken | issue 27"


@pytest.fixture(params=["-n0", "-n2"])
def suite(pytester: pytest.Pytester, request: pytest.FixtureRequest) -> pytest.Pytester:
    """One failing and five passing tests with this repository's conftest.py, with and without xdist."""
    test_dir = pytester.mkdir("tests")
    for name in ("conftest.py", "known_red.py"):
        (test_dir / name).write_text((TESTS_DIR / name).read_text())
    passing_tests = "".join(f"def test_good{k}(): pass\n" for k in range(5))
    (test_dir / "test_it.py").write_text(f"def test_bad(): assert False\n{passing_tests}")
    pytester.makepyprojecttoml(
        "[tool.pytest.ini_options]\npythonpath = ['tests']\ntestpaths = ['tests']\n"
        f"addopts = '-p xdist {request.param}'\n"
    )
    return pytester


def run(suite: pytest.Pytester, text: str) -> tuple[int, str]:
    (suite.path / "KNOWN-RED.txt").write_text(text)
    result = suite.runpytest_subprocess("-p", "no:cacheprovider")
    return int(result.ret), result.stdout.str() + result.stderr.str()


def test_listed_failures_are_expected_and_printed(suite: pytest.Pytester) -> None:
    exit_code, output = run(suite, f"{ENTRY}\n")
    assert exit_code == 0 and "KNOWN RED tests/test_it.py::test_bad: it is broken" in output
    assert run(suite, "")[0] == 1


@pytest.mark.parametrize(
    ("text", "expected_message"),
    [
        ("\n".join(f"tests/test_it.py::test_good{k} | c | issue 1" for k in range(4)), "4 tests, 3 at most"),
        (f"{ENTRY}\ntests/test_it.py::test_gone | c | issue 1", "no such test: tests/test_it.py::test_gone"),
        ("tests/test_it.py::test_bad | it is broken", "line 1: must be"),
        ("tests/test_it.py::test_bad | | issue 27", "line 1: must be"),
        (f"{ENTRY}\n{ENTRY}", "line 2: must be"),
        (f"{ENTRY}\ntests/test_it.py::test_good0 | c | issue 1", "XPASS(strict)"),
    ],
)
def test_invalid_entries_fail_the_run(suite: pytest.Pytester, text: str, expected_message: str) -> None:
    exit_code, output = run(suite, text)
    assert exit_code != 0 and expected_message in output
