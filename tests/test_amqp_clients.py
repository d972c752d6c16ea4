"""AMQP over sockets: a real node, and a client library that knows nothing of it (pika)."""

from __future__ import annotations

import json
import multiprocessing
import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pika
import pytest
from pika.exceptions import (
    AMQPConnectionError,
    ChannelClosedByBroker,
    ConnectionClosedByBroker,
    NackError,
    ProbableAccessDeniedError,
    ProbableAuthenticationError,
    UnroutableError,
)
from rig import Rig, accept, done, running, until

from bitternpath.balancer.config.passwords import hashed

FLAGS = ("--amqp-listen", "127.0.0.1:0", "--amqp-max-connections", "64")
REPLY_TO = "amq.rabbitmq.reply-to"


def parameters(
    rig: Rig, user: str = "guest", password: str = "guest", vhost: str = "/"
) -> pika.ConnectionParameters:
    (line,) = rig.logged("event=amqp_listening")
    port = int(line.split("address=127.0.0.1:")[1].split()[0])
    login = pika.PlainCredentials(user, password)
    return pika.ConnectionParameters("127.0.0.1", port, vhost, login, socket_timeout=10)


class Publisher:
    """Publishes with confirms and waits for direct replies."""

    def __init__(self, rig: Rig) -> None:
        self.connection = pika.BlockingConnection(parameters(rig))
        self.channel = self.connection.channel()
        self.channel.confirm_delivery()
        self.answers: dict[str, tuple[str, bytes]] = {}
        self.channel.basic_consume(REPLY_TO, self._answered, auto_ack=True)

    def _answered(self, channel: Any, method: Any, properties: Any, body: bytes) -> None:
        assert properties.correlation_id not in self.answers
        self.answers[properties.correlation_id] = properties.headers["x-outcome"], body

    def publish(self, id: str, key: str = "reminder", exchange: str = "", **more: Any) -> str:
        """The confirm, which comes with the final answer: served or not."""
        given = {"message_id": id, "correlation_id": id, "reply_to": REPLY_TO, "expiration": "8000"} | more
        try:
            self.channel.basic_publish(exchange, key, b"work", pika.BasicProperties(**given), mandatory=True)
        except NackError:
            return "nack"
        return "ack"

    def answer(self, id: str) -> tuple[str, bytes]:
        for _ in range(400):
            if id in self.answers:
                return self.answers[id]
            self.connection.process_data_events(0.02)
        raise AssertionError(f"no answer to {id}")


class Subscriber(threading.Thread):
    """Consumes in a thread of its own; `does` runs a job and says how it ended."""

    def __init__(self, rig: Rig, key: str = "reminder", does: str = "ack", prefetch: int = 2) -> None:
        super().__init__(daemon=True)
        self.does, self.ran = does, list[str]()
        self.cancelled = threading.Event()
        self.closed: tuple[int, str] | None = None
        self.connection = pika.BlockingConnection(parameters(rig))
        self.channel = self.connection.channel()
        self.channel.basic_qos(prefetch_count=prefetch)
        self.channel.queue_declare(key, durable=True)
        self.channel.add_on_cancel_callback(lambda frame: self.cancelled.set())
        self.tag = self.channel.basic_consume(key, self._run)
        self.held: list[int] = []
        self.start()

    def _run(self, channel: Any, method: Any, properties: Any, body: bytes) -> None:
        self.ran.append(properties.message_id)
        if self.does == "hold":
            self.held.append(method.delivery_tag)
            return
        channel.basic_publish(
            "",
            properties.reply_to,
            b"ran " + body,
            pika.BasicProperties(correlation_id=properties.correlation_id),
        )
        channel.basic_ack(method.delivery_tag)

    def run(self) -> None:
        try:
            while self.connection.is_open:
                self.connection.process_data_events(0.02)
        except ConnectionClosedByBroker as error:
            self.closed = error.reply_code, error.reply_text
        except AMQPConnectionError:
            pass

    def tell(self, what: Any) -> None:
        """Have something done on the connection's own thread."""
        self.connection.add_callback_threadsafe(what)


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[Rig]:
    with running(tmp_path, flags=FLAGS) as made:
        yield made


def test_publish_confirm_and_rpc_between_two_clients(rig: Rig) -> None:
    worker = Subscriber(rig)
    publisher = Publisher(rig)
    for k in range(10):
        assert publisher.publish(f"m{k}", exchange="jobs" if k % 2 else "") == "ack"
        assert publisher.answer(f"m{k}") == ("served", b"ran work")
    assert sorted(worker.ran) == sorted(f"m{k}" for k in range(10))
    with pytest.raises(UnroutableError):
        publisher.publish("lost", "nowhere")
    assert rig.submit("h1", "/reminder")[:2] == (200, b"ran b")  # the same subscriber serves HTTP


def test_prefetch_cancel_and_consume_again(rig: Rig) -> None:
    worker = Subscriber(rig, does="hold", prefetch=2)
    publishers = [Publisher(rig) for _ in range(3)]
    threads = [
        threading.Thread(target=p.publish, args=(f"m{k}",), daemon=True) for k, p in enumerate(publishers)
    ]
    for thread in threads:
        thread.start()
    until(lambda: len(worker.held) == 2)
    time.sleep(0.1)
    assert len(worker.ran) == 2  # the third waits at the node
    second = Subscriber(rig)
    worker.tell(lambda: worker.channel.basic_cancel(worker.tag))
    until(lambda: len(second.ran) == 1)
    for tag in worker.held:
        worker.tell(lambda tag=tag: worker.channel.basic_ack(tag))
    for thread in threads:
        thread.join(20)
    assert sorted(publisher.answer(f"m{k}")[0] for k, publisher in enumerate(publishers)) == ["served"] * 3
    until(lambda: not worker.channel.consumer_tags)
    worker.tell(lambda: worker.channel.basic_consume("reminder", worker._run))
    second.tell(second.connection.close)
    until(lambda: rig.logged("source=amqp") and len(rig.logged("source=amqp")) >= 5)
    worker.does = "ack"
    assert publishers[0].publish("again") == "ack" and worker.ran[-1] == "again"


def test_a_client_that_reconnects_goes_on(rig: Rig) -> None:
    for k in range(5):
        worker, publisher = Subscriber(rig), Publisher(rig)
        assert publisher.publish(f"m{k}") == "ack"
        publisher.connection.close()
        worker.tell(worker.connection.close)
        worker.join(20)
    until(lambda: rig.logged("source=amqp"))
    assert not rig.logged("level=error")


def _holder(port: int, told: Any) -> None:
    """A subscriber as a process of its own that takes a job and never ends it."""
    connection = pika.BlockingConnection(pika.ConnectionParameters("127.0.0.1", port))
    channel = connection.channel()
    channel.basic_consume("reminder", lambda ch, method, properties, body: told.send(properties.message_id))
    told.send("ready")
    channel.start_consuming()


def test_a_subscriber_that_is_killed_with_a_reminder_costs_it_one_answer_and_no_second_run(rig: Rig) -> None:
    ours, theirs = multiprocessing.Pipe()
    context = multiprocessing.get_context("spawn")
    process = context.Process(target=_holder, args=(parameters(rig).port, theirs), daemon=True)
    process.start()
    assert ours.poll(30) and ours.recv() == "ready"
    publisher = Publisher(rig)
    found: list[str] = []
    thread = threading.Thread(target=lambda: found.append(publisher.publish("m")), daemon=True)
    thread.start()
    assert ours.poll(20) and ours.recv() == "m"
    other = Subscriber(rig)  # ready to take it, were it sent again
    assert process.pid is not None
    os.kill(process.pid, signal.SIGKILL)
    thread.join(20)
    assert found == ["nack"] and publisher.answer("m") == ("failed", b"") and other.ran == []


def test_sigterm_cancels_answers_closes_with_320_and_ends_with_0(rig: Rig) -> None:
    worker, publisher = Subscriber(rig, does="hold"), Publisher(rig)
    found: list[str] = []
    thread = threading.Thread(target=lambda: found.append(publisher.publish("m")), daemon=True)
    thread.start()
    until(lambda: worker.held)
    rig.terminate()
    assert worker.cancelled.wait(20)
    worker.tell(lambda: worker.channel.basic_ack(worker.held[0]))
    thread.join(20)
    assert found == ["ack"]
    worker.join(20)
    assert worker.closed is not None and worker.closed[0] == 320
    assert rig.process.wait(20) == 0


def test_users_their_vhosts_and_a_reload(tmp_path: Path) -> None:
    file = tmp_path / "operator.toml"
    base = '[amqp]\nlisten = "127.0.0.1:0"\nmax_connections = 64\nvhosts = ["/", "/council"]\n'
    file.write_text(base + f'[amqp.users.a]\npassword = "{hashed(b"secret")}"\nvhosts = ["/council"]\n')
    with running(tmp_path, flags=("--operator-file", str(file))) as rig:
        pika.BlockingConnection(parameters(rig, "a", "secret", "/council")).close()
        for user, password in (("a", "wrong"), ("b", "secret"), ("guest", "guest"), ("a", "")):
            with pytest.raises(ProbableAuthenticationError):
                pika.BlockingConnection(parameters(rig, user, password, "/council"))
        with pytest.raises(ProbableAccessDeniedError, match="530"):
            pika.BlockingConnection(parameters(rig, "a", "secret", "/"))
        # A bad file changes nothing; a good one holds for those who come.
        file.write_text(base + "heartbeat = -1\n")
        rig.reload(json.dumps(rig.conf), "event=reload_failed")
        file.write_text(base.replace(":0", ":1") + f'[amqp.users.b]\npassword = "{hashed(b"secret")}"\n')
        rig.reload(json.dumps(rig.conf))
        assert "needs_restart=amqp.listen" in rig.logged("event=reloaded")[-1]
        pika.BlockingConnection(parameters(rig, "b", "secret")).close()
        with pytest.raises(ProbableAuthenticationError):
            pika.BlockingConnection(parameters(rig, "a", "secret", "/council"))


def test_an_amqp_message_runs_at_an_http_endpoint(tmp_path: Path) -> None:
    with running(tmp_path, done, flags=FLAGS) as rig:
        publisher = Publisher(rig)
        assert publisher.publish("m1") == "ack" and publisher.answer("m1") == ("served", b"made by s-0")
        assert rig.endpoints[0].got == [("POST", "/reminder", b"work")]


def test_a_publisher_that_disconnects_does_not_take_its_work_back(tmp_path: Path) -> None:
    with running(tmp_path, accept, flags=FLAGS) as rig:
        connection = pika.BlockingConnection(parameters(rig))
        connection.channel().basic_publish("", "reminder", b"x", pika.BasicProperties(message_id="m"))
        until(lambda: rig.endpoints[0].posts)
        connection.close()
        rig.endpoints[0].tell("m", "done", result="r")
        rig.terminate()
        assert rig.process.wait(20) == 0
        assert "served=1" in rig.logged("event=counts")[-1] and rig.endpoints[0].posts == 1
        assert not any(method == "DELETE" for method, _, _ in rig.endpoints[0].got)


def test_a_flood_over_amqp_leaves_http_its_room(tmp_path: Path) -> None:
    # Guards: the core takes so many at once; a publisher alone could have filled it and HTTP was turned away.
    with running(tmp_path, accept, flags=FLAGS) as rig:
        connection = pika.BlockingConnection(parameters(rig))
        channel = connection.channel()
        for k in range(300):
            channel.basic_publish("", "reminder", b"x", pika.BasicProperties(message_id=f"m{k}"))
        connection.process_data_events(0.1)
        until(lambda: rig.endpoints[0].posts >= 20)
        answers: list[int] = []
        thread = threading.Thread(target=lambda: answers.append(rig.submit("h", "/lookup")[0]), daemon=True)
        thread.start()
        until(lambda: answers or any(target == "/lookup" for _, target, _ in rig.endpoints[0].got))
        assert not answers
        rig.endpoints[0].tell("h", "done", result="r")
        thread.join(20)
        assert answers == [200]


def test_soft_errors_reach_the_client_with_their_codes(rig: Rig) -> None:
    connection = pika.BlockingConnection(parameters(rig))
    for do, code in (
        (lambda ch: ch.queue_declare("mine", durable=True), 403),
        (lambda ch: ch.queue_declare("mine", passive=True), 404),
        (lambda ch: ch.exchange_declare("mine", passive=True), 404),
        (lambda ch: ch.basic_get("reminder"), 403),
    ):
        with pytest.raises(ChannelClosedByBroker) as closed:
            do(connection.channel())
        assert closed.value.reply_code == code
    with pytest.raises(ConnectionClosedByBroker) as over:
        connection.channel().tx_select()
    assert over.value.reply_code == 540


def test_what_is_off_is_not_imported() -> None:
    heavy = ("pamqp", "bitternpath.balancer.amqp", "click", "tomllib")
    found = f"[m for m in sys.modules if m.startswith({heavy})]"
    look = f"import sys, bitternpath.cli.run, bitternpath.balancer.node; print({found})"
    run = subprocess.run(
        [sys.executable, "-c", look],
        cwd=Path(__file__).parent.parent,
        capture_output=True,
        text=True,
        check=True,
    )
    assert run.stdout.strip() == "[]"
