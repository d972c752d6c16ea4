"""How many small changes of the service's own code its tests notice.

    python benchmarks/mutations.py --seed 1 --many 60 --jobs 2 --json mutations.json

Draws places in the packages below by a seed, changes one at a time in a copy of the repository (a comparison
turned, a condition negated or left out, `and` for `or`, a number off by one, a call or a write left out), and
runs the tests of that package. A mutation is *caught* where a test fails or doesn't end; one that *survives*
needs a test, or a reason why nothing follows from it. Written as a table, one row a mutation.
"""

from __future__ import annotations

import argparse
import ast
import json
import shutil
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random

ROOT = Path(__file__).resolve().parents[1]
TIME_LIMIT_S = 600.0  # for the tests of a package; a mutation that makes them hang is caught
COPIED = ("bitternpath", "tests", "unittest.cfg", "pyproject.toml", "KNOWN-RED.txt", "deploy", "docs")
TESTS: dict[str, tuple[str, ...]] = {
    "replication": ("tests.system.replication", "tests.system.test_repairs"),
    "configuration": ("tests.system.configuration", "tests.system.test_operator_calls"),
    "queue": ("tests.system.queue",),
    "shards": ("tests.system.shards",),
    "storage": ("tests.system.storage",),
}
CLASS_OPTIONS = (
    "frozen=",
    "slots=",
    "kw_only=",
    "array_like=",
    "eq=",
)  # of records: nothing is decided by them
TURNED: dict[type[ast.cmpop], type[ast.cmpop]] = {
    ast.Lt: ast.LtE,
    ast.LtE: ast.Lt,
    ast.Gt: ast.GtE,
    ast.GtE: ast.Gt,
    ast.Eq: ast.NotEq,
    ast.NotEq: ast.Eq,
    ast.Is: ast.IsNot,
    ast.IsNot: ast.Is,
    ast.In: ast.NotIn,
    ast.NotIn: ast.In,
}


@dataclass(frozen=True)
class Mutation:
    """One change: the file below `bitternpath/`, the line, and the line's code before and after."""

    package: str
    file: str
    line: int
    kind: str
    before: str
    after: str
    source: str  # of the whole module, changed


@dataclass(frozen=True)
class Result:
    """What the tests of the package said."""

    mutation: Mutation
    caught: bool
    by: str  # the first test that failed, or "timeout"
    seconds: float


@dataclass(frozen=True)
class Place:
    """Where a change can be made: a node of a module, by its position in `ast.walk`."""

    package: str
    path: Path
    position: int
    line: int
    kind: str


def places_of(package: str, path: Path) -> Iterator[Place]:
    """All changes that can be made to a module."""
    source = path.read_text()
    lines = source.splitlines()
    for position, node in enumerate(ast.walk(ast.parse(source))):
        line = getattr(node, "lineno", 0)
        for kind, _ in changes(node):
            if not (kind == "flag" and any(option in lines[line - 1] for option in CLASS_OPTIONS)):
                yield Place(package, path, position, line, kind)


def mutation_at(place: Place) -> Mutation:
    """The module with one change."""
    tree = ast.parse(place.path.read_text())
    node = list(ast.walk(tree))[place.position]
    before = _code(node)
    dict(changes(node))[place.kind](node)
    after = _code(node) if place.kind != "left out" else "pass"
    ast.fix_missing_locations(tree)
    file = str(place.path.relative_to(ROOT / "bitternpath"))
    return Mutation(place.package, file, place.line, place.kind, before, after, ast.unparse(tree))


def changes(node: ast.AST) -> Iterator[tuple[str, Callable[[ast.AST], None]]]:
    """The kinds of changes of a node, and what makes each."""
    if isinstance(node, ast.Compare) and type(node.ops[0]) in TURNED:
        yield "comparison", _turn_comparison
    if isinstance(node, ast.BoolOp):
        yield "and/or", _turn_bool
        yield "condition dropped", _drop_operand
    if isinstance(node, ast.If | ast.While):
        yield "condition negated", _negate
    if isinstance(node, ast.BinOp) and isinstance(node.op, ast.Add | ast.Sub):
        yield "plus/minus", _turn_sign
    if isinstance(node, ast.Expr) and isinstance(node.value, ast.Call) and not _code(node).startswith("log."):
        yield "left out", _leave_out
    if isinstance(node, ast.Constant) and isinstance(node.value, bool):
        yield "flag", _turn_flag


def _turn_comparison(node: ast.AST) -> None:
    assert isinstance(node, ast.Compare)
    node.ops[0] = TURNED[type(node.ops[0])]()


def _turn_bool(node: ast.AST) -> None:
    assert isinstance(node, ast.BoolOp)
    node.op = ast.Or() if isinstance(node.op, ast.And) else ast.And()


def _drop_operand(node: ast.AST) -> None:
    assert isinstance(node, ast.BoolOp)
    del node.values[-1]
    if len(node.values) == 1:
        node.values.append(node.values[0])


def _negate(node: ast.AST) -> None:
    assert isinstance(node, ast.If | ast.While)
    node.test = ast.UnaryOp(ast.Not(), node.test)


def _turn_sign(node: ast.AST) -> None:
    assert isinstance(node, ast.BinOp)
    node.op = ast.Sub() if isinstance(node.op, ast.Add) else ast.Add()


def _leave_out(node: ast.AST) -> None:
    assert isinstance(node, ast.Expr)
    node.value = ast.Constant(None)


def _turn_flag(node: ast.AST) -> None:
    assert isinstance(node, ast.Constant)
    node.value = not node.value


def _code(node: ast.AST) -> str:
    """The first line of a node's code."""
    return ast.unparse(node).splitlines()[0][:100]


def draw(seed: int, many: int) -> list[Mutation]:
    """So many mutations, the same number of each package; no two of one line."""
    random = Random(seed)
    drawn: list[Mutation] = []
    for number, package in enumerate(TESTS):
        modules = sorted((ROOT / "bitternpath" / package).glob("*.py"))
        places = [place for path in modules for place in places_of(package, path)]
        random.shuffle(places)
        share = many // len(TESTS) + (number < many % len(TESTS))
        one_a_line = {(place.path, place.line): place for place in places}
        drawn += [mutation_at(place) for place in list(one_a_line.values())[:share]]
    return drawn


def play(mutation: Mutation) -> Result:
    """Run the tests of the package on a copy of the repository with the mutation."""
    began = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="bitternpath-mutation-") as folder:
        copied = Path(folder)
        for name in COPIED:
            source = ROOT / name
            ignored = shutil.ignore_patterns("__pycache__")
            if source.is_dir():
                shutil.copytree(source, copied / name, ignore=ignored)
            else:
                shutil.copy(source, copied / name)
        (copied / "bitternpath" / mutation.file).write_text(mutation.source)
        command = [sys.executable, "-m", "nose2", "--serial", "-F", "-s", "tests/system", "-t", "."]
        try:
            done = subprocess.run(
                [*command, *TESTS[mutation.package]],
                cwd=copied,
                capture_output=True,
                text=True,
                timeout=TIME_LIMIT_S,
            )
        except subprocess.TimeoutExpired:
            return Result(mutation, True, "timeout", time.monotonic() - began)
    lines = [line for line in done.stderr.splitlines() if line.startswith(("FAIL: ", "ERROR: "))]
    by = lines[0].split()[1] if lines else f"exit {done.returncode}"
    return Result(mutation, done.returncode != 0, by, time.monotonic() - began)


def row(result: Result) -> str:
    """A row of the table."""
    mutation = result.mutation
    place = f"`{mutation.file}:{mutation.line}`"
    change = f"`{mutation.before}` → `{mutation.after}`".replace("|", "\\|")
    outcome = f"caught by {result.by}" if result.caught else "**survived**"
    return f"| {place} | {mutation.kind}: {change} | {outcome} |"


def main() -> None:
    """Play the mutations and print the table, each row when it is there."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--many", type=int, default=60)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    results = []
    print("| place | change | result |\n| --- | --- | --- |")
    with ThreadPoolExecutor(options.jobs) as pool:
        for result in pool.map(play, draw(options.seed, options.many)):
            results.append(result)
            print(row(result), flush=True)
    caught = sum(result.caught for result in results)
    print(f"\n{caught} of {len(results)} caught (seed {options.seed})")
    if options.json is not None:
        rows = [asdict(result) for result in results]
        for each in rows:
            del each["mutation"]["source"]
        options.json.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
