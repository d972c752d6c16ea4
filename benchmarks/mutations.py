"""Mutation testing of the service: how many small code changes its tests detect.

    python benchmarks/mutations.py --seed 1 --many 60 --jobs 2 --json mutations.json

Draws mutation sites in the packages below by seed, applies one mutation at a time to a copy of the repository
(a changed comparison, a negated or dropped condition, `and` swapped with `or`, plus with minus, an inverted
flag, a removed call), and runs the package's tests. A mutation is *caught* if a test fails or doesn't end;
one that *survives* needs a test or a reason why it has no effect. Prints a table with a row per mutation.
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
TIME_LIMIT_S = 600.0  # of a package's tests; a mutation that makes them hang counts as caught
COPIED_PATHS = ("bitternpath", "tests", "unittest.cfg", "pyproject.toml", "KNOWN-RED.txt", "deploy", "docs")
TEST_MODULES: dict[str, tuple[str, ...]] = {
    "replication": ("tests.system.replication", "tests.system.test_repairs"),
    "configuration": ("tests.system.configuration", "tests.system.test_operator_calls"),
    "queue": ("tests.system.queue",),
    "shards": ("tests.system.shards",),
    "storage": ("tests.system.storage",),
}
# Flags of record classes are not mutated: no decision of the program depends on them.
RECORD_OPTIONS = (
    "frozen=",
    "slots=",
    "kw_only=",
    "array_like=",
    "eq=",
)
REPLACED_COMPARISONS: dict[type[ast.cmpop], type[ast.cmpop]] = {
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
    """A mutation: the file below `bitternpath/`, the line, and its code before and after."""

    package: str
    file: str
    line: int
    kind: str
    before: str
    after: str
    source: str  # source of the mutated module


@dataclass(frozen=True)
class Result:
    """Result of the package's tests with a mutation."""

    mutation: Mutation
    caught: bool
    by: str  # first failed test, "timeout" or "exit STATUS"
    seconds: float


@dataclass(frozen=True)
class MutationSite:
    """A syntax node that can be mutated, identified by its position in `ast.walk` of its module."""

    package: str
    path: Path
    position: int
    line: int
    kind: str


def mutation_sites(package: str, path: Path) -> Iterator[MutationSite]:
    """Yield all mutation sites of a module."""
    source = path.read_text()
    lines = source.splitlines()
    for position, node in enumerate(ast.walk(ast.parse(source))):
        line = getattr(node, "lineno", 0)
        for kind, _ in applicable_mutations(node):
            if not (kind == "flag" and any(option in lines[line - 1] for option in RECORD_OPTIONS)):
                yield MutationSite(package, path, position, line, kind)


def apply_mutation(site: MutationSite) -> Mutation:
    """Apply a mutation to the source of its module."""
    tree = ast.parse(site.path.read_text())
    node = list(ast.walk(tree))[site.position]
    before = _first_code_line(node)
    dict(applicable_mutations(node))[site.kind](node)
    after = _first_code_line(node) if site.kind != "left out" else "pass"
    ast.fix_missing_locations(tree)
    file = str(site.path.relative_to(ROOT / "bitternpath"))
    return Mutation(site.package, file, site.line, site.kind, before, after, ast.unparse(tree))


def applicable_mutations(node: ast.AST) -> Iterator[tuple[str, Callable[[ast.AST], None]]]:
    """Yield the kinds of mutations that apply to a node, each with the function that applies it."""
    if isinstance(node, ast.Compare) and type(node.ops[0]) in REPLACED_COMPARISONS:
        yield "comparison", _replace_comparison
    if isinstance(node, ast.BoolOp):
        yield "and/or", _swap_and_or
        yield "condition dropped", _drop_last_operand
    if isinstance(node, ast.If | ast.While):
        yield "condition negated", _negate
    if isinstance(node, ast.BinOp) and isinstance(node.op, ast.Add | ast.Sub):
        yield "plus/minus", _swap_plus_minus
    if (
        isinstance(node, ast.Expr)
        and isinstance(node.value, ast.Call)
        and not _first_code_line(node).startswith("log.")
    ):
        yield "left out", _remove_call
    if isinstance(node, ast.Constant) and isinstance(node.value, bool):
        yield "flag", _invert_flag


def _replace_comparison(node: ast.AST) -> None:
    assert isinstance(node, ast.Compare)
    node.ops[0] = REPLACED_COMPARISONS[type(node.ops[0])]()


def _swap_and_or(node: ast.AST) -> None:
    assert isinstance(node, ast.BoolOp)
    node.op = ast.Or() if isinstance(node.op, ast.And) else ast.And()


def _drop_last_operand(node: ast.AST) -> None:
    assert isinstance(node, ast.BoolOp)
    del node.values[-1]
    if len(node.values) == 1:
        node.values.append(node.values[0])


def _negate(node: ast.AST) -> None:
    assert isinstance(node, ast.If | ast.While)
    node.test = ast.UnaryOp(ast.Not(), node.test)


def _swap_plus_minus(node: ast.AST) -> None:
    assert isinstance(node, ast.BinOp)
    node.op = ast.Sub() if isinstance(node.op, ast.Add) else ast.Add()


def _remove_call(node: ast.AST) -> None:
    assert isinstance(node, ast.Expr)
    node.value = ast.Constant(None)


def _invert_flag(node: ast.AST) -> None:
    assert isinstance(node, ast.Constant)
    node.value = not node.value


def _first_code_line(node: ast.AST) -> str:
    """Return the first line of a node's source, at most 100 characters."""
    return ast.unparse(node).splitlines()[0][:100]


def draw_mutations(seed: int, count: int) -> list[Mutation]:
    """Draw `count` mutations, evenly distributed over the packages and at most one per line."""
    random = Random(seed)
    mutations: list[Mutation] = []
    for package_index, package in enumerate(TEST_MODULES):
        modules = sorted((ROOT / "bitternpath" / package).glob("*.py"))
        sites = [site for path in modules for site in mutation_sites(package, path)]
        random.shuffle(sites)
        quota = count // len(TEST_MODULES) + (package_index < count % len(TEST_MODULES))
        site_by_line = {(site.path, site.line): site for site in sites}
        mutations += [apply_mutation(site) for site in list(site_by_line.values())[:quota]]
    return mutations


def run_tests(mutation: Mutation) -> Result:
    """Run the package's tests on a copy of the repository with the mutation applied."""
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="bitternpath-mutation-") as folder:
        copy_dir = Path(folder)
        for name in COPIED_PATHS:
            source = ROOT / name
            ignore_caches = shutil.ignore_patterns("__pycache__")
            if source.is_dir():
                shutil.copytree(source, copy_dir / name, ignore=ignore_caches)
            else:
                shutil.copy(source, copy_dir / name)
        (copy_dir / "bitternpath" / mutation.file).write_text(mutation.source)
        command = [sys.executable, "-m", "nose2", "--serial", "-F", "-s", "tests/system", "-t", "."]
        try:
            completed = subprocess.run(
                [*command, *TEST_MODULES[mutation.package]],
                cwd=copy_dir,
                capture_output=True,
                text=True,
                timeout=TIME_LIMIT_S,
            )
        except subprocess.TimeoutExpired:
            return Result(mutation, True, "timeout", time.monotonic() - started_at)
    lines = [line for line in completed.stderr.splitlines() if line.startswith(("FAIL: ", "ERROR: "))]
    by = lines[0].split()[1] if lines else f"exit {completed.returncode}"
    return Result(mutation, completed.returncode != 0, by, time.monotonic() - started_at)


def table_row(result: Result) -> str:
    """Format a row of the table."""
    mutation = result.mutation
    location = f"`{mutation.file}:{mutation.line}`"
    change = f"`{mutation.before}` → `{mutation.after}`".replace("|", "\\|")
    outcome = f"caught by {result.by}" if result.caught else "**survived**"
    return f"| {location} | {mutation.kind}: {change} | {outcome} |"


def main() -> None:
    """Test the mutations and print each row of the table as soon as its result is available."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--many", type=int, default=60)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    results = []
    print("| place | change | result |\n| --- | --- | --- |")
    with ThreadPoolExecutor(options.jobs) as pool:
        for result in pool.map(run_tests, draw_mutations(options.seed, options.many)):
            results.append(result)
            print(table_row(result), flush=True)
    caught = sum(result.caught for result in results)
    print(f"\n{caught} of {len(results)} caught (seed {options.seed})")
    if options.json is not None:
        rows = [asdict(result) for result in results]
        for entry in rows:
            del entry["mutation"]["source"]
        options.json.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
