"""The build command of `deploy/system.toml`: the packages it requires, and when it rebuilds.

The command runs in a shell as on the platform, with a stub of python3 and pip that records its arguments.
"""

from __future__ import annotations

import re
import shlex
import shutil
import subprocess
import tempfile
import tomllib
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[2]
REQUIREMENTS = "requirements-system.txt"
SHELL_TOOLS = ("sh", "cmp", "cp", "mv", "rm")
SHELL = "sh"
SHELL_BUILTINS = frozenset(("test", "trap", "exec"))
PACKAGE_OF_PROGRAM = {
    "cmp": "diffutils",
    "cp": "coreutils",
    "mv": "coreutils",
    "rm": "coreutils",
    "python3": "python3",
    "sh": "dash",
}
# An empty string marks a module of this repository, which needs no package.
PACKAGE_OF_MODULE = {
    "bitternpath": "",
    "compileall": "python3",
    "pip": "python3-pip",
    "venv": "python3-venv",
}
PACKAGES_OF_DOWNLOADS = frozenset(("ca-certificates",))  # needed by commands that call pip
PACKAGES_OF_WHEELS = frozenset(("libgcc-s1",))  # linked by compiled libraries in target/deps
PYTHON_STUB = """#!/bin/sh
case "$*" in *compileall*) echo "$@" >> compiled; exit 0; esac
echo "$@" >> calls
[ ! -e pip-fails ] || exit 1
while [ "$1" != --target ]; do shift; done
mkdir -p "$2" && echo "$@" > "$2/library"
"""


def deploy_file(name: str = "system.toml") -> dict[str, object]:
    """Parse a file of `deploy/`."""
    return tomllib.loads((ROOT / "deploy" / name).read_text())


def simple_commands(script: str) -> list[list[str]]:
    """Split a shell script into the words of its simple commands.

    Supports `&&`, `||`, `;` and parentheses only.
    """
    lexer = shlex.shlex(script, posix=True, punctuation_chars="();&|")
    lexer.whitespace_split = True
    commands: list[list[str]] = [[]]
    for token in lexer:
        if token and set(token) <= set("();&|"):
            commands.append([])
        else:
            commands[-1].append(token)
    return [command for command in commands if command]


def packages_needed(scripts: list[str]) -> set[str]:
    """Return the Debian packages of the programs and Python modules that shell scripts start.

    Raises:
        KeyError: the tables above have no package for a program or module.
    """
    packages = {PACKAGE_OF_PROGRAM[SHELL]}
    for command in (each for script in scripts for each in simple_commands(script)):
        program, *arguments = command[1:] if command[0] == "exec" else command
        if program in SHELL_BUILTINS:
            continue
        if program.startswith(".venv/"):  # created by `python3 -m venv`
            packages |= PACKAGES_OF_DOWNLOADS if program.endswith("/pip") else set()
        else:
            packages.add(PACKAGE_OF_PROGRAM[program])
        if "-m" in arguments:
            module = arguments[arguments.index("-m") + 1].partition(".")[0]
            packages.add(PACKAGE_OF_MODULE[module])
            packages |= PACKAGES_OF_DOWNLOADS if module == "pip" else set()
    return packages - {""}


class BuildCommandTest(unittest.TestCase):
    """The build command in an empty directory with a requirements file and only the tools of SHELL_TOOLS."""

    def setUp(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="bitternpath-build-"))
        self.addCleanup(shutil.rmtree, self.folder)
        self.requirements = self.folder / REQUIREMENTS
        self.requirements.write_text("one==1\n")
        self.tools_dir = self.folder / "tools"
        self.tools_dir.mkdir()
        for name in (*SHELL_TOOLS, "mkdir"):  # mkdir is used by the stub
            (self.tools_dir / name).symlink_to(str(shutil.which(name)))
        python_stub = self.tools_dir / "python3"
        python_stub.write_text(PYTHON_STUB)
        python_stub.chmod(0o755)

    def run_build(self) -> int:
        """Run the build command and return its exit status."""
        build_command = str(deploy_file()["build"])
        arguments = [str(shutil.which("sh")), "-c", build_command]
        return subprocess.run(arguments, cwd=self.folder, env={"PATH": str(self.tools_dir)}).returncode

    def pip_calls(self) -> list[str]:
        """Return the arguments of each recorded call of the stub, compileall excepted."""
        calls_file = self.folder / "calls"
        return calls_file.read_text().splitlines() if calls_file.exists() else []

    def test_a_clean_checkout_is_built_from_wheels_only(self) -> None:
        self.assertEqual(0, self.run_build())
        self.assertEqual(1, len(self.pip_calls()))
        self.assertIn("-m pip install", self.pip_calls()[0])
        self.assertIn("--only-binary=:all:", self.pip_calls()[0])
        self.assertIn(f"-r {REQUIREMENTS}", self.pip_calls()[0])
        self.assertTrue((self.folder / "target/deps/library").exists())

    def test_libraries_are_compiled_at_the_optimization_level_of_the_roles(self) -> None:
        self.run_build()
        (compiled,) = (self.folder / "compiled").read_text().splitlines()
        self.assertEqual("-OO -m compileall -q target/deps", compiled)
        roles = deploy_file()["roles"]
        assert isinstance(roles, dict)
        for role in roles.values():
            self.assertTrue(role["run"].startswith("python3 -OO -m bitternpath "))

    def test_build_without_changes_does_nothing(self) -> None:
        self.run_build()
        self.assertEqual(0, self.run_build())
        self.assertEqual(1, len(self.pip_calls()))

    def test_changed_requirements_are_built_from_scratch(self) -> None:
        self.run_build()
        (self.folder / "target/deps/left-over").touch()
        library = self.folder / "target/deps/library"
        later_mtime = library.stat().st_mtime_ns + 10**9
        self.requirements.write_text("one==2\n")
        shutil.copystat(
            library, self.requirements
        )  # the same time stamp as the libraries: only the content differs
        self.assertLess(self.requirements.stat().st_mtime_ns, later_mtime)
        self.assertEqual(0, self.run_build())
        self.assertEqual(2, len(self.pip_calls()))
        self.assertFalse((self.folder / "target/deps/left-over").exists())

    def test_failed_first_build_leaves_no_incomplete_libraries(self) -> None:
        (self.folder / "pip-fails").touch()
        self.assertNotEqual(0, self.run_build())
        self.assertFalse((self.folder / "target/deps").exists())
        (self.folder / "pip-fails").unlink()
        self.assertEqual(0, self.run_build())

    def test_failed_rebuild_keeps_the_previous_libraries(self) -> None:
        self.run_build()
        self.requirements.write_text("one==2\n")
        (self.folder / "pip-fails").touch()
        self.assertNotEqual(0, self.run_build())
        self.assertTrue((self.folder / "target/deps/library").exists())
        self.assertNotEqual(0, self.run_build())


class DeployFileTest(unittest.TestCase):
    """Packages and requirements declared by the deploy files."""

    def test_packages_is_a_list_of_names(self) -> None:
        packages = deploy_file()["packages"]
        assert isinstance(packages, list)
        self.assertEqual([], [each for each in packages if not re.fullmatch(r"[a-z0-9][a-z0-9.+-]+", each)])

    def test_system_packages_match_the_programs_it_starts(self) -> None:
        deployment = deploy_file()
        roles = deployment["roles"]
        assert isinstance(roles, dict)
        scripts = [str(deployment["build"]), *(role["run"] for role in roles.values())]
        self.assertEqual(sorted(packages_needed(scripts) | PACKAGES_OF_WHEELS), deployment["packages"])

    def test_balancer_packages_match_the_programs_it_starts(self) -> None:
        deployment = deploy_file("balancer.toml")
        scripts = [str(deployment[key]) for key in ("build", "run", "sim")]
        self.assertEqual(sorted(packages_needed(scripts)), deployment["packages"])

    def test_programs_without_a_known_package_are_rejected(self) -> None:
        for script in (
            "tar -x && rm a",
            "(test -d a || install b)",
            "python3 -m ensurepip",
            "exec env -i sh",
        ):
            with self.subTest(script), self.assertRaises(KeyError):
                packages_needed([script])

    def test_every_requirement_has_one_version(self) -> None:
        lines = (ROOT / REQUIREMENTS).read_text().splitlines()
        named = [line for line in lines if line and not line.startswith("#")]
        self.assertEqual([], [line for line in named if not re.fullmatch(r"[\w.-]+==[\w.]+", line)])
