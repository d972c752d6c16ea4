"""The plugin that spreads nose2's tests over processes: its verdicts, its count and its exit code."""

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
RUN_LIMIT_S = 120.0  # nose2 itself must end
CONFIG = """
[unittest]
plugins = tests.parallel_runner.plugin
[parallel_runner]
always-on = True
processes = {processes}
test_limit_s = {limit_s}
"""
GOOD = "".join(f"    def test_good{k}(self): pass\n" for k in range(4))


@dataclass(frozen=True)
class Run:
    """What a run of nose2 printed, how many tests it counted, and its exit status."""

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
    """Writes modules of tests into a package `probes` and runs nose2 over it."""

    def run_modules(*options: str, processes: int = 3, limit_s: float = 60, **modules: str) -> Run:
        package = tmp_path / "probes"
        package.mkdir()
        (package / "__init__.py").touch()
        for name, text in modules.items():
            (package / f"{name}.py").write_text(f"import os, sys, time, unittest\n{text}")
        (tmp_path / "unittest.cfg").write_text(CONFIG.format(processes=processes, limit_s=limit_s))
        done = subprocess.run(
            [sys.executable, "-m", "nose2", "-s", "probes", "-t", ".", *options],
            cwd=tmp_path,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
            timeout=RUN_LIMIT_S,
            text=True,
        )
        return Run(done.stdout, done.returncode)

    return run_modules


def cases(name: str, *bodies: str) -> str:
    """A class of tests: one for each body (an expression or statement), among four that pass."""
    tests = "".join(f"    def test_m{place}(self): {body}\n" for place, body in enumerate(bodies))
    return f"class {name}(unittest.TestCase):\n{GOOD}{tests}"


def test_all_pass(run: Runner) -> None:
    done = run(test_a=cases("A"), test_b=cases("B") + cases("C"))
    assert (done.status, done.count, done.summary()) == (0, 12, "OK")


@pytest.mark.parametrize(("options", "in_parent"), [((), False), (("--serial",), True)])
def test_where_the_tests_run(run: Runner, tmp_path: Path, options: tuple[str, ...], in_parent: bool) -> None:
    loaded = "open('loaded', 'a').write(f'{os.getpid()}\\n')\n"  # nose2 itself loads first
    done = run(*options, test_a=loaded + cases("A", "open('ran', 'w').write(str(os.getpid()))"))
    assert (done.status, done.count) == (0, 5)
    parent = (tmp_path / "loaded").read_text().split("\n")[0]
    assert ((tmp_path / "ran").read_text() == parent) is in_parent


def test_a_failure(run: Runner) -> None:
    done = run(test_a=cases("A", "self.assertEqual(1, 2)"), test_b=cases("B"))
    assert (done.status, done.count, done.summary()) == (1, 9, "FAILED (failures=1)")
    assert "FAIL: test_m0 (probes.test_a.A.test_m0)" in done.output
    assert "AssertionError: 1 != 2" in done.output


def test_an_error(run: Runner) -> None:
    done = run(test_a=cases("A", "raise LookupError('lost key')"))
    assert (done.status, done.count, done.summary()) == (1, 5, "FAILED (errors=1)")
    assert "LookupError: lost key" in done.output


def test_an_exception_that_cannot_be_pickled(run: Runner) -> None:
    text = """
class Unpicklable(Exception):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.function = lambda: None
"""
    done = run(test_a=text + cases("A", "raise Unpicklable('this one')"))
    assert (done.status, done.count, done.summary()) == (1, 5, "FAILED (errors=1)")
    assert "Unpicklable: this one" in done.output


def test_a_failing_subtest(run: Runner) -> None:
    text = """
class A(unittest.TestCase):
    def test_parts(self):
        for part in range(4):
            with self.subTest(part=part):
                self.assertNotIn(part, (1, 2))
"""
    done = run(test_a=text)
    assert (done.status, done.count, done.summary()) == (1, 1, "FAILED (failures=2)")
    assert "(part=1)" in done.output and "(part=2)" in done.output


def test_skips_and_expected_failures(run: Runner) -> None:
    text = """
class A(unittest.TestCase):
    @unittest.skip("not here")
    def test_skipped(self): pass
    @unittest.expectedFailure
    def test_expected(self): self.fail()
"""
    done = run(test_a=text)
    assert (done.status, done.count, done.summary()) == (0, 2, "OK (skipped=1, expected failures=1)")


def test_an_unexpected_success_is_a_failure(run: Runner) -> None:
    """As `unittest` has it; nose2 by itself counts it and passes."""
    text = """
class A(unittest.TestCase):
    @unittest.expectedFailure
    def test_expected(self): pass
"""
    done = run(test_a=text)
    assert (done.status, done.count, done.summary()) == (1, 1, "FAILED (failures=1)")
    assert "unexpected success" in done.output


@pytest.mark.parametrize(
    ("ending", "says"),
    [
        ("os._exit(0)", "status 0"),
        ("os._exit(7)", "status 7"),
        ("os.kill(os.getpid(), 9)", "status -9"),
        ("print('last words', flush=True), os._exit(3)", "last words"),
    ],
)
def test_a_process_that_dies_loses_its_test_only(run: Runner, ending: str, says: str) -> None:
    """Also with status 0: it is no pass. The tests of the class that come after it run elsewhere."""
    text = cases("A", "pass", ending, "pass", "open('after', 'w').close()")
    done = run(test_a=text, test_b=cases("B"))
    assert (done.status, done.count, done.summary()) == (1, 12, "FAILED (errors=1)")
    assert "ERROR: test_m1 (probes.test_a.A.test_m1)" in done.output
    assert says in done.output


def test_each_process_may_die(run: Runner) -> None:
    deaths = {f"test_{name}": cases(name.upper(), "os._exit(1)", "os._exit(1)") for name in "abcde"}
    done = run(**deaths)
    assert (done.status, done.count, done.summary()) == (1, 30, "FAILED (errors=10)")


def test_a_test_that_hangs_is_ended(run: Runner) -> None:
    done = run(test_a=cases("A", "time.sleep(600)"), test_b=cases("B", "time.sleep(0.5)"), limit_s=3)
    assert (done.status, done.count, done.summary()) == (1, 10, "FAILED (errors=1)")
    assert "no news of it for 3 s" in done.output


def test_much_output(run: Runner) -> None:
    body = "[print('x' * 1_000) for _ in range(10_000)], os.write(2, b'y' * 1_000_000)"
    done = run(test_a=cases("A", body, "self.fail('z' * 1_000_000)"))
    assert (done.status, done.count, done.summary()) == (1, 6, "FAILED (failures=1)")
    assert "z" * 1_000_000 in done.output


def test_a_module_that_does_not_load(run: Runner) -> None:
    done = run(test_a="import no_such_module\n", test_b=cases("B"))
    assert (done.status, done.summary()) == (1, "FAILED (errors=1)")
    assert "no_such_module" in done.output and done.count == 5  # it counts as one, as without the plugin


def test_a_module_that_loads_only_in_the_first_process(run: Runner) -> None:
    text = "if os.path.exists('seen'): raise ValueError('seen')\nopen('seen', 'w').close()\n"
    done = run(test_a=text + cases("A"), test_b=cases("B"))
    assert done.status == 1 and done.count == 8
    assert "ValueError: seen" in done.output and "not run by its process" in done.output


def test_a_process_that_dies_while_a_module_loads(run: Runner) -> None:
    text = "if os.path.exists('seen'): os._exit(0)\nopen('seen', 'w').close()\n"
    done = run(test_a=text + cases("A"), test_b=cases("B"))
    assert (done.status, done.count, done.summary()) == (1, 8, "FAILED (errors=4)")


FIXTURE = """
class A(unittest.TestCase):
    @classmethod
    def setUpClass(cls): {up}
    @classmethod
    def tearDownClass(cls): {down}
    def test_one(self): self.assertEqual(self.value, 1)
    def test_two(self): self.assertEqual(self.value, 1)
"""


def test_class_fixtures(run: Runner) -> None:
    done = run(
        test_a=FIXTURE.format(up="cls.value = 1", down="os.write(2, b'down'), open('down', 'x').close()")
    )
    assert (done.status, done.count, done.summary()) == (0, 2, "OK")


@pytest.mark.parametrize(("up", "down", "errors"), [("1 / 0", "pass", 3), ("cls.value = 1", "1 / 0", 1)])
def test_class_fixtures_that_fail(run: Runner, up: str, down: str, errors: int) -> None:
    done = run(test_a=FIXTURE.format(up=up, down=down))
    assert (done.status, done.count, done.summary()) == (1, 2, f"FAILED (errors={errors})")
    assert "ZeroDivisionError" in done.output


def test_a_process_that_fails_at_its_end(run: Runner) -> None:
    body = "__import__('atexit').register(os._exit, 5)"
    done = run(test_a=cases("A", body))
    assert (done.status, done.count, done.summary()) == (1, 5, "FAILED (errors=1)")
    assert "all tests done, but its process ended with status 5" in done.output


def test_what_a_lost_test_started_is_ended(run: Runner, tmp_path: Path) -> None:
    child = "__import__('subprocess').Popen([sys.executable, '-c', 'import time; time.sleep(600)'])"
    done = run(test_a=cases("A", f"open('pid', 'w').write(str({child}.pid)), os._exit(1)"))
    assert done.status == 1
    stat = Path("/proc", (tmp_path / "pid").read_text(), "stat")
    assert not stat.exists() or stat.read_text().rpartition(")")[2].split()[0] == "Z"  # ended, not yet reaped


def test_long_tests_run_each_by_itself(run: Runner) -> None:
    """Three tests of one class that wait for each other pass only where each has a process of its own."""
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
    done = run(test_a=cases("A"), test_slow=text, limit_s=20)
    assert (done.status, done.count, done.summary()) == (0, 7, "OK")


def test_the_longest_begin_first(run: Runner, tmp_path: Path) -> None:
    body = "open('order', 'a').write(type(self).__name__)"
    text = "".join(
        f"class {name}(unittest.TestCase):\n    longest_test_s = {seconds}\n    def test_it(self): {body}\n"
        for name, seconds in (("A", 0), ("B", 2), ("C", 5), ("D", 0))
    )
    done = run(processes=1, test_a=text)
    assert (done.status, done.count) == (0, 4)
    assert (tmp_path / "order").read_text() == "CBAD"
