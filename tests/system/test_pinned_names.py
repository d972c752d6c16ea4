"""Names that users, operators and other programs read or write stay as 6e92cd6 had them."""

from __future__ import annotations

import ast
import json
import re
import subprocess
import sys
import tempfile
import tomllib
import unittest
from collections.abc import Iterator
from pathlib import Path

from tests.system.pinned import program
from tests.system.pinned.small_system import ROOT

# A settings file of the system with every name, none of them at its default, and what `system check-config`
# prints of each.
SETTINGS = """\
node_name = "node-7"
role = "edge"
ip = "127.0.0.7"
zone = "zone-2"
region = "region-3"
internal_port_range = [7700, 7710]
seeds = ["127.0.0.8:7800"]
bootstrap = true
counts_for_quorum = true
data_dir = "/nowhere/data"
[listen]
front = "127.0.0.7:7001"
readiness = "127.0.0.7:7002"
control = "127.0.0.7:7003"
[limits]
memory_mb = 301
max_fds = 4097
disk_mb = 64
[fault_tolerance]
machines = 2
[cloud_api]
address = "127.0.0.9:7004"
rate_per_s = 11.5
[bounds]
contact_ms = 4001
drain_ms = 3002
grace_s = 7
config_apply_ms = 3003
status_s = 121
callback_s = 8
visible_ms = 3004
ceiling_window_s = 9
origin_rate_over = 1.25
"""
PRINTED = {
    "node_name": "'node-7'",
    "role": "'edge'",
    "ip": "'127.0.0.7'",
    "zone": "'zone-2'",
    "region": "'region-3'",
    "internal_port_range": "(7700, 7710)",
    "seeds": "('127.0.0.8:7800',)",
    "bootstrap": "True",
    "counts_for_quorum": "True",
    "data_dir": "PosixPath('/nowhere/data')",
    "listen.front": "'127.0.0.7:7001'",
    "listen.readiness": "'127.0.0.7:7002'",
    "listen.control": "'127.0.0.7:7003'",
    "limits.memory_mb": "301",
    "limits.max_fds": "4097",
    "limits.disk_mb": "64",
    "fault_tolerance.machines": "2",
    "cloud_api.address": "'127.0.0.9:7004'",
    "cloud_api.rate_per_s": "11.5",
    "bounds.contact_ms": "4001.0",
    "bounds.drain_ms": "3002.0",
    "bounds.grace_s": "7.0",
    "bounds.config_apply_ms": "3003.0",
    "bounds.status_s": "121.0",
    "bounds.callback_s": "8.0",
    "bounds.visible_ms": "3004.0",
    "bounds.ceiling_window_s": "9.0",
    "bounds.origin_rate_over": "1.25",
}

OPERATOR_CODES = {
    1000: "accepted",
    1001: "current",
    1100: "invalid",
    1101: "other_version",
    1200: "not_owner",
    1201: "fate_open",
    1202: "no_configuration",
    1203: "unknown_call",
    1300: "unknown_node",
    1301: "too_few_nodes",
    1302: "retiring",
}
EXIT_CODES = [0, 1, 2, 3, 4]

# Names of headers in the program's text, of both programs; those of the worlds they are tested in aside.
HEADERS = [
    "x-again",
    "x-budget-ms",
    "x-call-class",
    "x-call-id",
    "x-call-info",
    "x-callback-url",
    "x-deadline-ms",
    "x-delay-ms",
    "x-expect-instance",
    "x-instance-id",
    "x-job-method",
    "x-job-status",
    "x-job-target",
    "x-kind",
    "x-lease-id",
    "x-message-id",
    "x-not-executed",
    "x-order-key",
    "x-outcome",
    "x-reason",
    "x-rejected",
    "x-request-id",
    "x-retry-after-ms",
    "x-route-hash",
    "x-server-stamp",
    "x-site",
    "x-size",
    "x-target",
    "x-up-since-ms",
    "x-wait-ms",
]
TEST_WORLDS = {"emulator", "simulation", "rehearsal"}  # packages, by whatever path they are reached
_HEADER = re.compile(r"(?<![\w-])x-[a-z]+(?:-[a-z]+)*(?![\w-])", re.IGNORECASE)

DEPLOY = {
    "balancer.toml": ["build", "node", "packages", "policy", "run", "sim"],
    "system.toml": [
        "build",
        "packages",
        "roles.edge.on",
        "roles.edge.run",
        "roles.edge.serves",
        "roles.edge.share",
        "roles.storage.on",
        "roles.storage.run",
        "roles.storage.serves",
        "roles.storage.share",
    ],
}
COMMANDS = {  # what deploy/ and the environments of users run
    "balancer.toml": {"run": "trap '' HUP; exec .venv/bin/python -m bitternpath"},
    "system.toml": {
        "roles.edge.run": "python3 -OO -m bitternpath edge",
        "roles.edge.on": "edge",
        "roles.edge.serves": ["edge", "control_plane"],
        "roles.edge.share": 1.0,
        "roles.storage.run": "python3 -OO -m bitternpath storage",
        "roles.storage.on": "storage",
        "roles.storage.serves": ["storage"],
        "roles.storage.share": 1.0,
    },
}


class Settings(unittest.TestCase):
    def check_config(self, text: str, **environment: str) -> subprocess.CompletedProcess[str]:
        """Run `system check-config` on a file with that text, named by the environment."""
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "boot.toml"
        path.write_text(text, "utf-8")
        return subprocess.run(
            [sys.executable, "-m", "bitternpath", "system", "check-config"],
            cwd=ROOT,
            env={"BITTERNPATH_CONFIG": str(path), **environment},
            capture_output=True,
            text=True,
            check=False,
        )

    def test_every_name_in_the_file_is_read(self) -> None:
        done = self.check_config(SETTINGS)
        self.assertEqual((done.returncode, done.stderr), (0, ""))
        printed = {}
        for line in done.stdout.splitlines():
            name, _, rest = line.partition(" = ")
            printed[name], _, origin = rest.rpartition("  ")
            self.assertRegex(origin, r"^\(/.*boot\.toml\)$", name)
        self.assertEqual(printed, PRINTED)

    def test_unknown_names_are_passed_over_and_known_ones_checked(self) -> None:
        self.assertEqual(self.check_config("extra = 1\n" + SETTINGS).returncode, 0)
        for name, wrong in (("bootstrap", '"yes"'), ("internal_port_range", "[1]"), ("seeds", '"a"')):
            with self.subTest(name=name):
                done = self.check_config(re.sub(rf"(?m)^{name} = .*$", f"{name} = {wrong}", SETTINGS))
                self.assertEqual(done.returncode, 2)
                self.assertIn(name, done.stdout + done.stderr)


class Numbers(unittest.TestCase):
    def test_codes_of_the_operators_calls(self) -> None:
        codes = {code.value: code for code in program.OPERATOR_CODES}
        self.assertEqual(sorted(codes), sorted(OPERATOR_CODES))
        for number, name in OPERATOR_CODES.items():
            told = json.loads(program.operator_result(codes[number], "why").body)
            self.assertEqual(told, {"code": number, "result": name, "error": "why"})

    def test_exit_codes(self) -> None:
        self.assertEqual([int(code) for code in program.EXIT_CODES], EXIT_CODES)


class Headers(unittest.TestCase):
    def test_names_of_headers_in_the_program(self) -> None:
        found = {name for path in program_files() for name in header_names(path)}
        self.assertEqual(sorted(found), sorted(HEADERS))


def program_files() -> list[Path]:
    """All files of the program but those of the worlds that it is tested in."""
    files = sorted((ROOT / "bitternpath").rglob("*.py"))
    return [path for path in files if not TEST_WORLDS & set(path.relative_to(ROOT).parts)]


def header_names(path: Path) -> Iterator[str]:
    """Names of headers in a file's string and bytes literals that aren't docstrings, in lower case."""
    tree = ast.parse(path.read_text("utf-8"))
    documentation = {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in documentation:
            text = node.value.decode("latin-1") if isinstance(node.value, bytes) else node.value
            if isinstance(text, str):
                yield from (match.lower() for match in _HEADER.findall(text))


class Deploy(unittest.TestCase):
    def test_fields_of_the_files_for_deployment(self) -> None:
        for name, fields in DEPLOY.items():
            with self.subTest(file=name):
                found = flat(tomllib.loads((ROOT / "deploy" / name).read_text("utf-8")))
                self.assertEqual(sorted(found), fields)
                for field, value in COMMANDS[name].items():
                    self.assertEqual(found[field], value)

    def test_files_that_they_name_exist(self) -> None:
        balancer = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text("utf-8"))
        start, module = balancer["sim"].rsplit(" ", 1)  # the simulator's adapter, wherever it stands
        self.assertEqual(start, "exec .venv/bin/python -m")
        for path in [*balancer["policy"], *balancer["node"], f"{module.replace('.', '/')}.py"]:
            with self.subTest(path=path):
                self.assertTrue((ROOT / path).exists())


def flat(table: dict[str, object], prefix: str = "") -> dict[str, object]:
    """A table's values by their dotted names."""
    found: dict[str, object] = {}
    for key, value in table.items():
        found |= flat(value, f"{prefix}{key}.") if isinstance(value, dict) else {f"{prefix}{key}": value}
    return found


if __name__ == "__main__":
    unittest.main()
