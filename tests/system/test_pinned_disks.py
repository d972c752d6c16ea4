"""Disks that 6e92cd6 wrote are read by this revision, and what is asked over HTTP keeps its names.

Real processes on copies of the disks, seen only from outside: settings files, HTTP, the command line.
"""

from __future__ import annotations

import io
import json
import re
import subprocess
import sys
import tarfile
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any, ClassVar

from tests.system.pinned.small_system import (
    CONTROL,
    FRONT,
    READINESS,
    ROOT,
    Answer,
    Got,
    SmallSystem,
    Surroundings,
    call,
)
from tests.system.pinned.write_disks import ARCHIVE, FACTS, HOST, Client, patch_body

PINNED: dict[str, Any] = json.loads(FACTS.read_text("utf-8"))
LATE_S = 20.0  # for what takes well under a second on a machine with nothing else to do

# Of each group on a disk: term, index of the snapshot, entries, last index.
GROUPS = {
    "edge": {"configuration": (1, 13, 9, 20)},
    "storage": {"queue-0": (1, 138, 54, 182), "queue-1": (1, 141, 26, 157), "queue-2": (1, 177, 54, 221)},
}


def unpack(folder: Path) -> None:
    """Copy both disks into a folder."""
    with tarfile.open(fileobj=io.BytesIO(ARCHIVE.read_bytes()), mode="r:gz") as archive:
        archive.extractall(folder, filter="data")


def wait_for(found: Any) -> Any:
    """Call until something is found; what it is."""
    end = time.monotonic() + LATE_S
    while not (result := found()) and time.monotonic() < end:
        time.sleep(0.02)
    return result


class CheckDisk(unittest.TestCase):
    """`bitternpath system check-disk`."""

    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        unpack(self.folder)

    def check(self, role: str) -> str:
        """What the command prints of a good disk."""
        command = [sys.executable, "-m", "bitternpath", "system", "check-disk", str(self.folder / role)]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
        self.assertEqual((done.returncode, done.stderr), (0, ""), done.stdout)
        return done.stdout

    def test_both_disks_are_read_and_hold_what_they_held(self) -> None:
        for role, groups in GROUPS.items():
            printed = self.check(role)
            for group, numbers in groups.items():
                with self.subTest(disk=role, group=group):
                    (line,) = re.findall(rf"^ *{group} (.*)$", printed, re.MULTILINE)
                    self.assertEqual(tuple(int(each) for each in re.findall(r"\d+", line)), numbers)
            self.assertNotIn("torn", printed)
            self.assertNotIn("damaged", printed)

    def test_founding_identity_and_cache_are_read(self) -> None:
        self.assertRegex(self.check("edge"), "identity=True[^$]*28c55a40c2c6b9ed")
        self.assertRegex(self.check("storage"), r"identity=True[^$]*feed .*17\b")


class Recovered(unittest.TestCase):
    """A core node and a storage node on these disks."""

    folder: ClassVar[tempfile.TemporaryDirectory[str]]
    surroundings: ClassVar[Surroundings]
    system: ClassVar[SmallSystem]

    @classmethod
    def setUpClass(cls) -> None:
        cls.folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(cls.folder.cleanup)
        unpack(Path(cls.folder.name))
        cls.surroundings = Surroundings()
        cls.addClassCleanup(cls.surroundings.close)
        cls.system = SmallSystem(Path(cls.folder.name), cls.surroundings, bootstrap=False)
        cls.addClassCleanup(cls.system.stop)
        cls.system.start()
        cls.system.until(READINESS, "GET", "/readyz", lambda found: found.status == 200)

    def front(self, method: str, target: str, **more: Any) -> Answer:
        return call(self.system.address(FRONT), method, target, **more)

    def control(self, method: str, target: str, **more: Any) -> Answer:
        """The answer to an operator's call, which is sent again on 503, as operators do."""
        return self.system.until(CONTROL, method, target, lambda found: found.status != 503, **more)

    def state(self, message: str, state: str) -> Any:
        """The answer to a question for a message's state, once it has that state."""
        found = self.system.until(
            FRONT,
            "GET",
            f"/message/{message}",
            lambda answer: answer.status == 200 and answer.document().get("state") == state,
        )
        return found.document()

    def test_1_the_configuration_is_the_same_and_its_group_has_a_leader(self) -> None:
        found = self.system.until(CONTROL, "GET", "/config", lambda answer: answer.status == 200)
        self.assertEqual(found.document(), PINNED["configuration"])
        self.assertEqual(found.headers["Content-Type"], "application/json")

    def test_2_every_message_has_its_state_its_stamp_and_its_bytes(self) -> None:
        for message, fact in PINNED["messages"].items():
            with self.subTest(message=message):
                if fact.get("body") == "listed":
                    continue  # its worker is in the list now, see test_4
                found = self.state(message, fact["state"])
                wanted = {"state": fact["state"]} | ({"stamp": fact["stamp"]} if "stamp" in fact else {})
                self.assertEqual(found, wanted)
                body = self.front("GET", f"/message-body/{message}")
                self.assertEqual(body.status, 200 if "body" in fact else 404)
                if "body" in fact:
                    self.assertEqual(body.body.decode(), fact["body"])
                    self.assertEqual(body.headers["Content-Type"], "application/octet-stream")

    def test_3_what_waits_is_pulled_with_its_headers_and_in_order(self) -> None:
        client = Client(self.system)
        jobs = []
        for _ in range(4):
            jobs.append(client.pull())
            extended = self.front(
                "POST",
                f"/job-extend/{jobs[-1].headers['X-Request-Id']}",
                headers={"X-Lease-Id": jobs[-1].headers["X-Lease-Id"]},
            )
            self.assertEqual(extended.status, 200)
            client.end(jobs[-1], 200)
        told = {
            job.headers["X-Request-Id"]: (
                job.headers["X-Job-Method"],
                job.headers["X-Job-Target"],
                job.headers.get("X-Order-Key"),
                job.body.decode(),
            )
            for job in jobs
        }
        ordered = {f"ordered-{n}": ("POST", "/ordered/x", "key", f"ordered-{n}") for n in range(3)}
        once = {"failed-once": ("POST", "/pulled/failed-once", None, "failed once")}
        self.assertEqual(told, ordered | once)
        in_order = [name for name in told if name.startswith("ordered")]
        self.assertEqual(in_order, ["ordered-0", "ordered-1", "ordered-2"])
        lease = jobs[0].headers["X-Lease-Id"]
        again = {"X-Lease-Id": lease, "X-Job-Status": "500"}
        gone = self.front("POST", f"/job-end/{jobs[0].headers['X-Request-Id']}", headers=again)
        self.assertEqual(gone.status, 409)

    def test_4_a_message_that_waited_on_disk_goes_to_its_worker(self) -> None:
        (message,) = [name for name, fact in PINNED["messages"].items() if fact.get("body") == "listed"]
        self.assertEqual(self.state(message, "done"), {"state": "done", "stamp": "stamp-of-worker-1"})
        (got,) = [each for each in self.surroundings.worker.got if each.body == b"listed"]
        self.assertEqual((got.method, got.target), ("POST", "/listed/x"))

    def test_5_new_messages_are_taken_delivered_and_called_back(self) -> None:
        url = f"http://{self.surroundings.receiver.address}/ended"
        headers = {"X_Callback_Url": url, "X_Own": "kept", "X_Order_Key": "not ordered"}
        message = Client(self.system).send("new-1", "/listed/new?a=%20b", b"new", **headers)
        self.assertEqual(self.state(message, "done"), {"state": "done", "stamp": "stamp-of-worker-1"})
        (got,) = [each for each in self.surroundings.worker.got if each.body == b"new"]
        self.assertEqual((got.method, got.target), ("POST", "/listed/new?a=%20b"))
        self.assertEqual(got.headers["Host"], HOST)
        self.assertEqual(got.headers["X-Request-Id"], "new-1")
        self.assertEqual(got.headers["X-Expect-Instance"], "worker-1")
        self.assertEqual(got.headers["X-Own"], "kept")
        self.assertEqual(got.headers["X-Order-Key"], "not ordered")
        self.assertRegex(got.headers["X-Deadline-Ms"], r"^\d+$")
        for own in ("X-Callback-Url", "X-Delay-Ms"):
            self.assertNotIn(own, got.headers)
        called = wait_for(lambda: self.surroundings.receiver.got)
        self.check_call_back(called[0], message)

    def check_call_back(self, got: Got, message: str) -> None:
        self.assertEqual((got.method, got.target), ("POST", "/ended"))
        self.assertEqual(got.headers["Content-Type"], "application/json")
        told = json.loads(got.body)
        self.assertEqual(told, {"id": "new-1", "state": "done", "stamp": "stamp-of-worker-1"})
        self.assertIn("new-1", message)

    def test_6_headers_of_refused_messages(self) -> None:
        plain = {"Host": HOST, "X-Request-Id": "refused"}
        self.assertEqual(self.front("POST", "/pulled/x", headers={"Host": HOST}).status, 400)
        self.assertEqual(self.front("POST", "/nowhere", headers=plain).status, 404)
        for name in ("X-Deadline-Ms", "X-Delay-Ms", "X-Callback-Url"):
            with self.subTest(header=name):
                refused = self.front("POST", "/pulled/x", headers={**plain, name: "no such value"})
                self.assertEqual(refused.status, 400)
                self.assertIn(name.lower(), refused.body.decode())
        for target, headers in (
            ("/pull/pulled", {"X-Instance-Id": "i", "X-Wait-Ms": "soon"}),
            ("/pull/pulled", {}),
            ("/job-end/x", {"X-Lease-Id": "l", "X-Job-Status": "200"}),  # without X-Server-Stamp
            ("/job-end/x", {"X-Lease-Id": "l"}),
            ("/job-extend/x", {}),
        ):
            with self.subTest(call=target, headers=headers):
                self.assertEqual(self.front("POST", target, headers=headers).status, 400)
        empty = self.front("POST", "/pull/nobody", headers={"X-Instance-Id": "i", "X-Wait-Ms": "50"})
        self.assertEqual(empty.status, 204)

    def test_7_keys_of_the_answers_to_operators(self) -> None:
        other = self.control("PUT", "/config", headers={"If-Match": "3"}, body=b'{"version": 99}')
        self.assertEqual(other.status, 412)
        self.assertEqual(set(other.document()), {"code", "result", "error", "version"})
        self.assertEqual((other.document()["code"], other.document()["result"]), (1101, "other_version"))
        self.assertEqual(other.document()["version"], 17)
        invalid = self.control("PATCH", "/config", headers={"If-Match": "17"}, body=b"[]")
        self.assertEqual((invalid.status, set(invalid.document())), (400, {"code", "result", "error"}))
        self.assertEqual((invalid.document()["code"], invalid.document()["result"]), (1100, "invalid"))
        unknown = self.control("GET", "/retire/nobody")
        self.assertEqual((unknown.status, unknown.document()["code"]), (404, 1300))
        few = self.control("POST", "/retire/storage-1")
        self.assertEqual((few.status, few.document()["code"]), (409, 1301))

    def test_7_a_change_that_was_accepted_before_is_known_again(self) -> None:
        answer = self.control("PATCH", "/config", headers={"If-Match": "16"}, body=patch_body(17))
        self.assertEqual(answer.document(), {"code": 1000, "result": "accepted", "version": 17})
        other = self.control("PATCH", "/config", headers={"If-Match": "16"}, body=patch_body(17) + b" ")
        self.assertEqual(other.document()["code"], 1101)

    def test_8_a_change_builds_on_the_configuration_from_the_disk(self) -> None:
        patch = {
            "version": 18,
            "upsert": {"routes": [{**PINNED["configuration"]["routes"][0], "max_attempts": 7}]},
            "remove": {"routes": ["ordered"]},
        }
        body = json.dumps(patch).encode()
        answer = self.control("PATCH", "/config", headers={"If-Match": '"17"'}, body=body)
        self.assertEqual(answer.document(), {"code": 1000, "result": "accepted", "version": 18})
        found = self.control("GET", "/config").document()
        names = [route["name"] for route in found["routes"]]
        self.assertEqual((found["version"], names), (18, ["pulled", "listed"]))

    def test_9_both_end_with_their_exit_code(self) -> None:
        self.assertEqual(self.system.stop(), {"edge": 0, "storage": 0}, self.system.logs())


if __name__ == "__main__":
    unittest.main()
