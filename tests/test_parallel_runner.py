"""Parallel runner of nose2: reported outcomes, number of tests and exit status."""

from __future__ import annotations

import os
import re
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
RUN_LIMIT_S = 120.0  # fails the test if nose2 hangs
CONFIG = """
[unittest]
plugins = tests.parallel_runner.plugin
[parallel_runner]
always-on = True
processes = {processes}
test_limit_s = {limit_s}
"""
PASSING_TESTS = "".join(f"    def test_good{k}(self): pass\n" for k in range(4))


@dataclass(frozen=True)
class Run:
    """Output and exit status of a run of nose2."""

    output: str
    status: int

    @property
    def count(self) -> int:
        counts = re.findall(r"^Ran ([0-9]+) tests? in", self.output, re.MULTILINE)
        assert len(counts) == 1, self.output
        return int(counts[0])

    def summary(self) -> str:
        return self.output.rstrip().rpartition("\n")[2]


Runner = Callable[..., Run]


@pytest.fixture
def run(tmp_path: Path) -> Runner:
    """Return a function that writes test modules into a package `probes` and runs nose2 on it."""

    def run_modules(*options: str, processes: int = 3, limit_s: float = 60, **modules: str) -> Run:
        package = tmp_path / "probes"
        package.mkdir()
        (package / "__init__.py").touch()
        for name, text in modules.items():
            (package / f"{name}.py").write_text(f"import os, sys, time, unittest\n{text}")
        (tmp_path / "unittest.cfg").write_text(CONFIG.format(processes=processes, limit_s=limit_s))
        result = subprocess.run(
            [sys.executable, "-m", "nose2", "-s", "probes", "-t", ".", *options],
            cwd=tmp_path,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
            timeout=RUN_LIMIT_S,
            text=True,
        )
        return Run(result.stdout, result.returncode)

    return run_modules


def cases(name: str, *bodies: str) -> str:
    """Return the source of a test class: one test per body (expression or statement) and four that pass."""
    tests = "".join(f"    def test_m{index}(self): {body}\n" for index, body in enumerate(bodies))
    return f"class {name}(unittest.TestCase):\n{PASSING_TESTS}{tests}"


def test_all_pass(run: Runner) -> None:
    result = run(test_a=cases("A"), test_b=cases("B") + cases("C"))
    assert (result.status, result.count, result.summary()) == (0, 12, "OK")


@pytest.mark.parametrize(("options", "in_parent"), [((), False), (("--serial",), True)])
def test_tests_run_in_workers_unless_serial(
    run: Runner, tmp_path: Path, options: tuple[str, ...], in_parent: bool
) -> None:
    record_loading = (
        "open('loaded', 'a').write(f'{os.getpid()}\\n')\n"  # nose2's own process loads the module first
    )
    result = run(*options, test_a=record_loading + cases("A", "open('ran', 'w').write(str(os.getpid()))"))
    assert (result.status, result.count) == (0, 5)
    parent = (tmp_path / "loaded").read_text().split("\n")[0]
    assert ((tmp_path / "ran").read_text() == parent) is in_parent


def test_a_failure(run: Runner) -> None:
    result = run(test_a=cases("A", "self.assertEqual(1, 2)"), test_b=cases("B"))
    assert (result.status, result.count, result.summary()) == (1, 9, "FAILED (failures=1)")
    assert "FAIL: test_m0 (probes.test_a.A.test_m0)" in result.output
    assert "AssertionError: 1 != 2" in result.output


def test_an_error(run: Runner) -> None:
    result = run(test_a=cases("A", "raise LookupError('lost key')"))
    assert (result.status, result.count, result.summary()) == (1, 5, "FAILED (errors=1)")
    assert "LookupError: lost key" in result.output


def test_an_exception_that_cannot_be_pickled(run: Runner) -> None:
    text = """
class Unpicklable(Exception):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.function = lambda: None
"""
    result = run(test_a=text + cases("A", "raise Unpicklable('this one')"))
    assert (result.status, result.count, result.summary()) == (1, 5, "FAILED (errors=1)")
    assert "Unpicklable: this one" in result.output


def test_a_failing_subtest(run: Runner) -> None:
    text = """
class A(unittest.TestCase):
    def test_parts(self):
        for part in range(4):
            with self.subTest(part=part):
                self.assertNotIn(part, (1, 2))
"""
    result = run(test_a=text)
    assert (result.status, result.count, result.summary()) == (1, 1, "FAILED (failures=2)")
    assert "(part=1)" in result.output and "(part=2)" in result.output


def test_skips_and_expected_failures(run: Runner) -> None:
    text = """
class A(unittest.TestCase):
    @unittest.skip("not here")
    def test_skipped(self): pass
    @unittest.expectedFailure
    def test_expected(self): self.fail()
"""
    result = run(test_a=text)
    assert (result.status, result.count, result.summary()) == (0, 2, "OK (skipped=1, expected failures=1)")


def test_an_unexpected_success_is_a_failure(run: Runner) -> None:
    """`unittest` fails such a run; nose2 without the plugin counts the test and lets the run pass."""
    text = """
class A(unittest.TestCase):
    @unittest.expectedFailure
    def test_expected(self): pass
"""
    result = run(test_a=text)
    assert (result.status, result.count, result.summary()) == (1, 1, "FAILED (failures=1)")
    assert "unexpected success" in result.output


@pytest.mark.parametrize(
    ("failure_statement", "expected_message"),
    [
        ("os._exit(0)", "status 0"),
        ("os._exit(7)", "status 7"),
        ("os.kill(os.getpid(), 9)", "status -9"),
        ("print('last words', flush=True), os._exit(3)", "last words"),
    ],
)
def test_worker_death_fails_only_its_test(run: Runner, failure_statement: str, expected_message: str) -> None:
    """Exit status 0 is no pass either. The remaining tests of the class run in another worker."""
    text = cases("A", "pass", failure_statement, "pass", "open('after', 'w').close()")
    result = run(test_a=text, test_b=cases("B"))
    assert (result.status, result.count, result.summary()) == (1, 12, "FAILED (errors=1)")
    assert "ERROR: test_m1 (probes.test_a.A.test_m1)" in result.output
    assert expected_message in result.output


def test_every_worker_may_die(run: Runner) -> None:
    failing_modules = {f"test_{name}": cases(name.upper(), "os._exit(1)", "os._exit(1)") for name in "abcde"}
    result = run(**failing_modules)
    assert (result.status, result.count, result.summary()) == (1, 30, "FAILED (errors=10)")


def test_hanging_test_is_terminated(run: Runner) -> None:
    result = run(test_a=cases("A", "time.sleep(600)"), test_b=cases("B", "time.sleep(0.5)"), limit_s=3)
    assert (result.status, result.count, result.summary()) == (1, 10, "FAILED (errors=1)")
    assert "no message from it for 3 s" in result.output


def test_large_output(run: Runner) -> None:
    body = "[print('x' * 1_000) for _ in range(10_000)], os.write(2, b'y' * 1_000_000)"
    result = run(test_a=cases("A", body, "self.fail('z' * 1_000_000)"))
    assert (result.status, result.count, result.summary()) == (1, 6, "FAILED (failures=1)")
    assert "z" * 1_000_000 in result.output


def test_module_that_cannot_be_imported(run: Runner) -> None:
    result = run(test_a="import no_such_module\n", test_b=cases("B"))
    assert (result.status, result.summary()) == (1, "FAILED (errors=1)")
    assert "no_such_module" in result.output and result.count == 5  # it counts as one, as without the plugin


def test_module_that_can_be_imported_only_once(run: Runner) -> None:
    text = "if os.path.exists('seen'): raise ValueError('seen')\nopen('seen', 'w').close()\n"
    result = run(test_a=text + cases("A"), test_b=cases("B"))
    assert result.status == 1 and result.count == 8
    assert "ValueError: seen" in result.output and "not run by its process" in result.output


def test_worker_death_while_a_module_is_imported(run: Runner) -> None:
    text = "if os.path.exists('seen'): os._exit(0)\nopen('seen', 'w').close()\n"
    result = run(test_a=text + cases("A"), test_b=cases("B"))
    assert (result.status, result.count, result.summary()) == (1, 8, "FAILED (errors=4)")


FIXTURE = """
class A(unittest.TestCase):
    @classmethod
    def setUpClass(cls): {set_up}
    @classmethod
    def tearDownClass(cls): {tear_down}
    def test_one(self): self.assertEqual(self.value, 1)
    def test_two(self): self.assertEqual(self.value, 1)
"""


def test_class_fixtures(run: Runner) -> None:
    result = run(
        test_a=FIXTURE.format(
            set_up="cls.value = 1", tear_down="os.write(2, b'down'), open('down', 'x').close()"
        )
    )
    assert (result.status, result.count, result.summary()) == (0, 2, "OK")


@pytest.mark.parametrize(
    ("set_up", "tear_down", "error_count"), [("1 / 0", "pass", 3), ("cls.value = 1", "1 / 0", 1)]
)
def test_failing_class_fixtures(run: Runner, set_up: str, tear_down: str, error_count: int) -> None:
    result = run(test_a=FIXTURE.format(set_up=set_up, tear_down=tear_down))
    assert (result.status, result.count, result.summary()) == (1, 2, f"FAILED (errors={error_count})")
    assert "ZeroDivisionError" in result.output


def test_worker_failing_at_exit(run: Runner) -> None:
    body = "__import__('atexit').register(os._exit, 5)"
    result = run(test_a=cases("A", body))
    assert (result.status, result.count, result.summary()) == (1, 5, "FAILED (errors=1)")
    assert "all tests done, but its process ended with status 5" in result.output


def test_child_processes_of_a_failed_test_are_killed(run: Runner, tmp_path: Path) -> None:
    start_child = "__import__('subprocess').Popen([sys.executable, '-c', 'import time; time.sleep(600)'])"
    result = run(test_a=cases("A", f"open('pid', 'w').write(str({start_child}.pid)), os._exit(1)"))
    assert result.status == 1
    stat = Path("/proc", (tmp_path / "pid").read_text(), "stat")
    assert (
        not stat.exists() or stat.read_text().rpartition(")")[2].split()[0] == "Z"
    )  # a zombie, not yet reaped


def test_long_tests_run_in_separate_batches(run: Runner) -> None:
    """Three tests of a class that wait for each other pass only if each runs in a separate process."""
    text = """
class Slow(unittest.TestCase):
    longest_test_s = 10
    def meet(self):
        open(f"here-{self.id()}", "w").close()
        while sum(name.startswith("here-") for name in os.listdir()) < 3: time.sleep(0.01)
    def test_one(self): self.meet()
    def test_two(self): self.meet()
    def test_three(self): self.meet()
"""
    result = run(test_a=cases("A"), test_slow=text, limit_s=20)
    assert (result.status, result.count, result.summary()) == (0, 7, "OK")


def test_longest_tests_start_first(run: Runner, tmp_path: Path) -> None:
    body = "open('order', 'a').write(type(self).__name__)"
    text = "".join(
        f"class {name}(unittest.TestCase):\n    longest_test_s = {seconds}\n    def test_it(self): {body}\n"
        for name, seconds in (("A", 0), ("B", 2), ("C", 5), ("D", 0))
    )
    result = run(processes=1, test_a=text)
    assert (result.status, result.count) == (0, 4)
    assert (tmp_path / "order").read_text() == "CBAD"
