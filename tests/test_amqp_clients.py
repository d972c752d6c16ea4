"""AMQP over sockets: a real node and an independent client library (pika)."""

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
from rig import Rig, accept, done, running, wait_until

from bitternpath.balancer.config.passwords import hash_password

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

    def publish(self, id: str, key: str = "reminder", exchange: str = "", **extra: Any) -> str:
        """Publish and return the confirm ("ack" or "nack"), which arrives with the final answer."""
        properties = {
            "message_id": id,
            "correlation_id": id,
            "reply_to": REPLY_TO,
            "expiration": "8000",
        } | extra
        try:
            self.channel.basic_publish(
                exchange, key, b"work", pika.BasicProperties(**properties), mandatory=True
            )
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
    """Consumes in its own thread; `action` is "ack" (publish a result, then ack) or "hold" (neither)."""

    def __init__(self, rig: Rig, key: str = "reminder", action: str = "ack", prefetch: int = 2) -> None:
        super().__init__(daemon=True)
        self.action, self.ran = action, list[str]()
        self.cancelled = threading.Event()
        self.closed: tuple[int, str] | None = None
        self.connection = pika.BlockingConnection(parameters(rig))
        self.channel = self.connection.channel()
        self.channel.basic_qos(prefetch_count=prefetch)
        self.channel.queue_declare(key, durable=True)
        self.channel.add_on_cancel_callback(lambda frame: self.cancelled.set())
        self.tag = self.channel.basic_consume(key, self._run)
        self.unacked_tags: list[int] = []
        self.start()

    def _run(self, channel: Any, method: Any, properties: Any, body: bytes) -> None:
        self.ran.append(properties.message_id)
        if self.action == "hold":
            self.unacked_tags.append(method.delivery_tag)
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

    def run_on_connection_thread(self, callback: Any) -> None:
        """Call a function on the thread of the connection."""
        self.connection.add_callback_threadsafe(callback)


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[Rig]:
    with running(tmp_path, flags=FLAGS) as node:
        yield node


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
    worker = Subscriber(rig, action="hold", prefetch=2)
    publishers = [Publisher(rig) for _ in range(3)]
    threads = [
        threading.Thread(target=p.publish, args=(f"m{k}",), daemon=True) for k, p in enumerate(publishers)
    ]
    for thread in threads:
        thread.start()
    wait_until(lambda: len(worker.unacked_tags) == 2)
    time.sleep(0.1)
    assert len(worker.ran) == 2  # the third waits at the node
    second = Subscriber(rig)
    worker.run_on_connection_thread(lambda: worker.channel.basic_cancel(worker.tag))
    wait_until(lambda: len(second.ran) == 1)
    for tag in worker.unacked_tags:
        worker.run_on_connection_thread(lambda tag=tag: worker.channel.basic_ack(tag))
    for thread in threads:
        thread.join(20)
    assert sorted(publisher.answer(f"m{k}")[0] for k, publisher in enumerate(publishers)) == ["served"] * 3
    wait_until(lambda: not worker.channel.consumer_tags)
    worker.run_on_connection_thread(lambda: worker.channel.basic_consume("reminder", worker._run))
    second.run_on_connection_thread(second.connection.close)
    wait_until(lambda: rig.logged("source=amqp") and len(rig.logged("source=amqp")) >= 5)
    worker.action = "ack"
    assert publishers[0].publish("again") == "ack" and worker.ran[-1] == "again"


def test_clients_can_reconnect_repeatedly(rig: Rig) -> None:
    for k in range(5):
        worker, publisher = Subscriber(rig), Publisher(rig)
        assert publisher.publish(f"m{k}") == "ack"
        publisher.connection.close()
        worker.run_on_connection_thread(worker.connection.close)
        worker.join(20)
    wait_until(lambda: rig.logged("source=amqp"))
    assert not rig.logged("level=error")


def _consume_without_ack(port: int, pipe: Any) -> None:
    """Consume in a separate process, and never acknowledge the job."""
    connection = pika.BlockingConnection(pika.ConnectionParameters("127.0.0.1", port))
    channel = connection.channel()
    channel.basic_consume("reminder", lambda ch, method, properties, body: pipe.send(properties.message_id))
    pipe.send("ready")
    channel.start_consuming()


def test_killing_a_subscriber_fails_its_unsafe_request_without_a_second_run(rig: Rig) -> None:
    ours, theirs = multiprocessing.Pipe()
    context = multiprocessing.get_context("spawn")
    process = context.Process(target=_consume_without_ack, args=(parameters(rig).port, theirs), daemon=True)
    process.start()
    assert ours.poll(30) and ours.recv() == "ready"
    publisher = Publisher(rig)
    confirms: list[str] = []
    thread = threading.Thread(target=lambda: confirms.append(publisher.publish("m")), daemon=True)
    thread.start()
    assert ours.poll(20) and ours.recv() == "m"
    other = Subscriber(rig)  # would get the job if it were sent again
    assert process.pid is not None
    os.kill(process.pid, signal.SIGKILL)
    thread.join(20)
    assert confirms == ["nack"] and publisher.answer("m") == ("failed", b"") and other.ran == []


def test_sigterm_cancels_consumers_closes_with_320_and_exits_with_0(rig: Rig) -> None:
    worker, publisher = Subscriber(rig, action="hold"), Publisher(rig)
    confirms: list[str] = []
    thread = threading.Thread(target=lambda: confirms.append(publisher.publish("m")), daemon=True)
    thread.start()
    wait_until(lambda: worker.unacked_tags)
    rig.terminate()
    assert worker.cancelled.wait(20)
    worker.run_on_connection_thread(lambda: worker.channel.basic_ack(worker.unacked_tags[0]))
    thread.join(20)
    assert confirms == ["ack"]
    worker.join(20)
    assert worker.closed is not None and worker.closed[0] == 320
    assert rig.process.wait(20) == 0


def test_users_their_vhosts_and_a_reload(tmp_path: Path) -> None:
    file = tmp_path / "operator.toml"
    base = '[amqp]\nlisten = "127.0.0.1:0"\nmax_connections = 64\nvhosts = ["/", "/council"]\n'
    file.write_text(
        base + f'[amqp.users.a]\npassword = "{hash_password(b"secret")}"\nvhosts = ["/council"]\n'
    )
    with running(tmp_path, flags=("--operator-file", str(file))) as rig:
        pika.BlockingConnection(parameters(rig, "a", "secret", "/council")).close()
        for user, password in (("a", "wrong"), ("b", "secret"), ("guest", "guest"), ("a", "")):
            with pytest.raises(ProbableAuthenticationError):
                pika.BlockingConnection(parameters(rig, user, password, "/council"))
        with pytest.raises(ProbableAccessDeniedError, match="530"):
            pika.BlockingConnection(parameters(rig, "a", "secret", "/"))
        # An invalid file changes nothing; a valid one applies to new connections.
        file.write_text(base + "heartbeat = -1\n")
        rig.reload(json.dumps(rig.config), "event=reload_failed")
        file.write_text(
            base.replace(":0", ":1") + f'[amqp.users.b]\npassword = "{hash_password(b"secret")}"\n'
        )
        rig.reload(json.dumps(rig.config))
        assert "needs_restart=amqp.listen" in rig.logged("event=reloaded")[-1]
        pika.BlockingConnection(parameters(rig, "b", "secret")).close()
        with pytest.raises(ProbableAuthenticationError):
            pika.BlockingConnection(parameters(rig, "a", "secret", "/council"))


def test_an_amqp_message_runs_at_an_http_endpoint(tmp_path: Path) -> None:
    with running(tmp_path, done, flags=FLAGS) as rig:
        publisher = Publisher(rig)
        assert publisher.publish("m1") == "ack" and publisher.answer("m1") == ("served", b"made by s-0")
        assert rig.endpoints[0].requests == [("POST", "/reminder", b"work")]


def test_requests_of_a_disconnected_publisher_still_run(tmp_path: Path) -> None:
    with running(tmp_path, accept, flags=FLAGS) as rig:
        connection = pika.BlockingConnection(parameters(rig))
        connection.channel().basic_publish("", "reminder", b"x", pika.BasicProperties(message_id="m"))
        wait_until(lambda: rig.endpoints[0].posts)
        connection.close()
        rig.endpoints[0].send_callback("m", "done", result="r")
        rig.terminate()
        assert rig.process.wait(20) == 0
        assert "served=1" in rig.logged("event=counts")[-1] and rig.endpoints[0].posts == 1
        assert not any(method == "DELETE" for method, _, _ in rig.endpoints[0].requests)


def test_an_amqp_flood_leaves_capacity_for_http(tmp_path: Path) -> None:
    # Guards against one publisher filling the capacity of the core, so that HTTP requests are refused.
    with running(tmp_path, accept, flags=FLAGS) as rig:
        connection = pika.BlockingConnection(parameters(rig))
        channel = connection.channel()
        for k in range(300):
            channel.basic_publish("", "reminder", b"x", pika.BasicProperties(message_id=f"m{k}"))
        connection.process_data_events(0.1)
        wait_until(lambda: rig.endpoints[0].posts >= 20)
        answers: list[int] = []
        thread = threading.Thread(target=lambda: answers.append(rig.submit("h", "/lookup")[0]), daemon=True)
        thread.start()
        wait_until(lambda: answers or any(target == "/lookup" for _, target, _ in rig.endpoints[0].requests))
        assert not answers
        rig.endpoints[0].send_callback("h", "done", result="r")
        thread.join(20)
        assert answers == [200]


def test_soft_errors_reach_the_client_with_their_codes(rig: Rig) -> None:
    connection = pika.BlockingConnection(parameters(rig))
    for operation, code in (
        (lambda ch: ch.queue_declare("mine", durable=True), 403),
        (lambda ch: ch.queue_declare("mine", passive=True), 404),
        (lambda ch: ch.exchange_declare("mine", passive=True), 404),
        (lambda ch: ch.basic_get("reminder"), 403),
    ):
        with pytest.raises(ChannelClosedByBroker) as closed:
            operation(connection.channel())
        assert closed.value.reply_code == code
    with pytest.raises(ConnectionClosedByBroker) as closed_connection:
        connection.channel().tx_select()
    assert closed_connection.value.reply_code == 540


def test_disabled_features_are_not_imported() -> None:
    heavy = ("pamqp", "bitternpath.balancer.amqp", "click", "tomllib")
    expression = f"[m for m in sys.modules if m.startswith({heavy})]"
    script = f"import sys, bitternpath.cli.run, bitternpath.balancer.node; print({expression})"
    result = subprocess.run(
        [sys.executable, "-c", script],
        cwd=Path(__file__).parent.parent,
        capture_output=True,
        text=True,
        check=True,
    )
    assert result.stdout.strip() == "[]"
