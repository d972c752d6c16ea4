"""`bitternpath fleet`: ask the stewards, and change what all nodes act on."""

from __future__ import annotations

import getpass
import os
import secrets
import time
from collections.abc import Callable
from functools import wraps
from typing import Any

import click
import msgspec

from bitternpath.cli.options import given, operator_options
from bitternpath.cli.run import fault
from bitternpath.config.operator import read
from bitternpath.config.platform import Address, ConfigError, address

LOOK_EVERY = 0.2  # s between looks whether a change is in effect


class Fleet:
    """The stewards that a command may ask, and who asks."""

    def __init__(self, stewards: dict[str, Address], author: str, within: float) -> None:
        self.stewards, self.author, self.within = stewards, author, within

    def ask(self, command: Any) -> Any:
        """The answer's data; ends with 1 and one line where it is no, or nobody answers."""
        from bitternpath.fleet.client import NoAnswerError, ask

        try:
            answer = ask(self.stewards, command, self.author, self.within)
        except NoAnswerError as error:
            raise click.ClickException(f"no steward that can decide answers: {error}") from error
        if not answer.ok:
            raise click.ClickException(answer.text)
        return msgspec.msgpack.decode(answer.data)

    def look(self, what: str = "status") -> tuple[dict[str, Any], str]:
        from bitternpath.fleet.client import NoAnswerError, look
        from bitternpath.fleet.messages import Look

        try:
            return look(self.stewards, Look(what), self.author, self.within)
        except NoAnswerError as error:
            raise click.ClickException(f"no steward answers: {error}") from error


def asks(function: Callable[..., Any]) -> Callable[..., Any]:
    """Hands over a `Fleet` made from the operator file and the flags."""

    @wraps(function)
    def made(operator_file: str | None, within: float, author: str | None, **more: Any) -> Any:
        flags = {name: more.pop(name) for name in list(more) if "__" in name}
        context = click.get_current_context()
        try:
            told = read(operator_file, os.environ, given(flags)).settings.fleet
            if not told.stewards:
                raise ConfigError(
                    "fleet.stewards: no steward is named; give --fleet-stewards or --operator-file"
                )
            pairs = [each.partition("=") for each in told.stewards]
            stewards = {name: address(at) for name, _, at in pairs}
        except (ConfigError, ValueError) as error:
            context.exit(fault(error))
        return function(Fleet(stewards, author or getpass.getuser(), within), **more)

    made = click.option("--author", metavar="NAME", help="who asks; else your user name")(made)
    made = click.option(
        "--within", default=5.0, show_default=True, metavar="S", help="for how long an answer is waited for"
    )(made)
    return operator_options(made)


as_json = click.option("--json", "json", is_flag=True, help="all that is known, for machines")


@click.group()
def command() -> None:
    """Ask the fleet, and change what all nodes act on. Every command works through any steward.

    Ends with 0 where it went well, with 1 where the answer is no or nobody can give one, with 2 where the
    command or the configuration is wrong.
    """


def _old(found: dict[str, Any], why: str) -> None:
    if why:
        click.echo(f"NO MAJORITY: what follows is what {found['steward']} knows, {_age(found)} old ({why})")


def _age(found: dict[str, Any]) -> str:
    return f"{found['heard']:.0f} s"


def _print(found: dict[str, Any]) -> None:
    click.echo(msgspec.json.format(msgspec.json.encode(found, enc_hook=repr), indent=2).decode())


def _table(heads: tuple[str, ...], rows: list[tuple[Any, ...]]) -> None:
    texts = [heads, *[tuple(str(cell) for cell in row) for row in rows]]
    widths = [max(len(row[k]) for row in texts) for k in range(len(heads))]
    for row in texts:
        click.echo("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


def lag(found: dict[str, Any], holder: dict[str, Any]) -> str:
    """In one word, how a holder stands to what is agreed."""
    if holder.get("heard") is None:
        return "not heard"
    if holder["refuses"]:
        return "refuses"
    if holder["acting"] < found["released"]:
        return "straggler" if holder["behind"] > found["terms"]["catch_up"] else "behind"
    return "ok" if holder["have"] >= found["latest"] else "takes"


@command.command()
@asks
@as_json
def status(fleet: Fleet, json: bool) -> None:
    """Who leads, which version is in effect, and who holds a lease on which."""
    found, why = fleet.look()
    if json:
        _print(found | {"no_majority": why})
    else:
        _old(found, why)
        click.echo(
            f"leader {found['leader'] or '-'}, term {found['term']}; version {found['released']} released, "
            f"{found['latest']} agreed, {found['in_effect']} acted on by all"
        )
        for id in found["voters"]:
            click.echo(f"steward {id}" + (" (leads)" if id == found["leader"] else ""))
        for id in found["learners"]:
            click.echo(f"steward {id} (learns, does not vote yet)")
        rows = [
            (
                h["node"], h["boot"], h["site"], ".".join(map(str, h["release"])), h["fence"],
                h.get("acting", "-"), h.get("have", "-"),
                f"{h['heard']:.1f} s" if h.get("heard") is not None else "-",
                f"{max(h['until'], 0.0):.1f} s" if "until" in h else "-", lag(found, h),
            )
            for h in sorted(found["holders"], key=lambda h: (h["node"], h["boot"]))
        ]  # fmt: skip
        _table(
            ("node", "process", "site", "release", "fence", "acts on", "has", "heard", "lease", "state"), rows
        )
    click.get_current_context().exit(1 if why else 0)


def describe(change: dict[str, Any] | None) -> str:
    """A change in the words of `fleet change`."""
    if change is None:
        return "withdrawn"
    match change["type"]:
        case "class":
            return " ".join(f"{change['name']}.{key}={value:g}" for key, value in change["fields"].items())
        case "rule":
            return f"{change['section']}.{change['key']}={change['value']:g}"
        case "ban" | "back":
            return f"{change['type']} {change['worker']}"
        case _:
            return f"least-release={'.'.join(map(str, change['release']))}"


@command.command()
@asks
@as_json
def versions(fleet: Fleet, json: bool) -> None:
    """What was agreed, by whom, why, and since when it is acted on."""
    found, why = fleet.look()
    if json:
        _print({"versions": found["changes"], "release_times": found["release_times"], "no_majority": why})
    else:
        _old(found, why)
        rows = []
        for agreed in found["changes"]:
            since = found["release_times"].get(agreed["version"])
            state = "released " + _time(since) if since is not None else "agreed"
            what = describe(agreed["change"]) + (f" ({agreed['withdrawn']})" if agreed["withdrawn"] else "")
            rows.append(
                (agreed["version"], _time(agreed["time"]), agreed["author"], state, what, agreed["reason"])
            )
        _table(("version", "agreed", "by", "state", "change", "reason"), rows)
    click.get_current_context().exit(1 if why else 0)


def _time(at: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(at))


# ---- the audit

WHEN = "%Y-%m-%d %H:%M:%S"


def _moment(text: str) -> float:
    """Unix s of `YYYY-MM-DD HH:MM:SS`, of `HH:MM:SS` today, or as it stands."""
    try:
        return float(text)
    except ValueError:
        pass
    full = text if "-" in text else f"{time.strftime('%Y-%m-%d')} {text}"
    try:
        return time.mktime(time.strptime(full.replace("T", " "), WHEN))
    except ValueError as error:
        raise click.UsageError(
            f"--at {text}: allowed are YYYY-MM-DD HH:MM:SS, HH:MM:SS, Unix seconds"
        ) from error


def acted(account: dict[str, Any], at: float) -> str:
    """On what a process acted at a moment, in words."""
    told = [
        line for line in account["lines"] if line[1] <= at and line[2] in ("joined", "acts", "lost", "left")
    ]
    if not told:
        return "no lease yet" if account["lines"] else "not known: its lines are not kept any more"
    _, since, what, version, fence, *_ = told[-1]
    if what in ("lost", "left"):
        return (
            f"{'alone, as in' if what == 'lost' else 'ended, after'} version {version}, since {_time(since)}"
        )
    return f"version {version} under fence {fence}, since {_time(since)}"


@command.command()
@asks
@as_json
@click.option("--node", help="of this node alone")
@click.option("--version", type=int, help="what was done under this version alone")
@click.option("--at", metavar="TIME", help="on what each acted at that time")
def audit(fleet: Fleet, node: str | None, version: int | None, at: str | None, json: bool) -> None:
    """Who acted on which version, from when to when, and what is missing."""
    when = _moment(at) if at is not None else None
    found, why = fleet.look("audit")
    accounts = [a for a in found["accounts"] if node in (None, a["node"])]
    accounts.sort(key=lambda a: (a["node"], a["lines"][0][1] if a["lines"] else 0.0))
    if json:
        _print({"accounts": accounts, "no_majority": why})
        click.get_current_context().exit(1 if why else 0)
    _old(found, why)
    if when is not None:
        _table(
            ("node", "process", f"at {_time(when)}"),
            [
                (a["node"], a["boot"], acted(a, when))
                for a in accounts
                if a["lines"] and a["lines"][0][1] <= when
            ],
        )
    else:
        rows = [
            (a["node"], a["boot"], number, _time(since), what, of, fence, detail)
            for a in accounts
            for number, since, what, of, fence, detail, _ in a["lines"]
            if version in (None, of)
        ]
        _table(("node", "process", "act", "time", "what", "version", "fence", ""), rows)
    for account in accounts:
        for wrong in [*account["faults"], *account["unheard"]]:
            click.echo(f"{account['node']}#{account['boot']}: {wrong}")
    click.get_current_context().exit(1 if why else 0)


@command.command()
@asks
@click.argument("node")
def explain(fleet: Fleet, node: str) -> None:
    """Why a node is where it is: what was last heard, what it acts on, what stops it, what to do."""
    found, why = fleet.look("audit")
    _old(found, why)
    holders = [h for h in found["holders"] if h["node"] == node]
    accounts = [a for a in found["accounts"] if a["node"] == node]
    if not holders and not accounts:
        raise click.ClickException(f"nobody has heard of {node}")
    for holder in holders:
        click.echo(f"{node}#{holder['boot']}: {explained(found, holder)}")
    held = {h["boot"] for h in holders}
    gone = [a for a in accounts if a["boot"] not in held]
    if gone:
        last = max(gone, key=lambda a: a["lines"][-1][1] if a["lines"] else 0.0)
        click.echo(f"{node}#{last['boot']}: no lease; {acted(last, time.time())}")
        if not holders:
            click.echo("It gets a lease by itself once it reaches a steward and can take what is released:")
            click.echo("look whether it runs, whether its log says `alone` or `withheld`, and at its links.")
    click.get_current_context().exit(1 if why else 0)


def explained(found: dict[str, Any], holder: dict[str, Any]) -> str:
    """How a holder stands, and what to do, in words."""
    state = lag(found, holder)
    heard = f"heard {holder['heard']:.1f} s ago" if holder.get("heard") is not None else "not heard yet"
    if state == "not heard":
        return (
            f"has a lease by the record, and the leader has not heard of it; if that stays so it is let go "
            f"of in {max(holder.get('until', 0.0), 0.0):.1f} s. Nothing to do."
        )
    where = f"{heard}, acts on {holder['acting']}, has {holder['have']}, {found['released']} is released"
    if state == "refuses":
        return (
            f"{where}. It cannot take the next version: {holder['refuses']}. Mend its file and send SIGHUP, "
            f"start a newer release, or `bitternpath fleet withdraw {found['released'] + 1}`"
        )
    if state == "straggler":
        return f"{where}. It lags for {holder['behind']:.1f} s; its lease is not renewed until it acts on it."
    if holder["heard"] > found["terms"]["lease"] / 2:
        return f"{where}. It is silent; its lease ends in {max(holder['until'], 0.0):.1f} s if that stays so."
    return f"{where}. " + (
        "All is well." if state == "ok" else "It is about to take or to act on what is new."
    )


# ---- changes


def parsed(words: tuple[str, ...]) -> Any:
    """The change that `KEY=VALUE` words mean; click.UsageError where they mean none."""
    from bitternpath.fleet import plan as p

    pairs = [word.partition("=") for word in words]
    if not pairs or any(not equals for _, equals, _ in pairs):
        raise click.UsageError(
            "give KEY=VALUE: CLASS.FIELD=..., rules.KEY=..., allowed.KEY=..., least-release=1.4.0"
        )
    key, _, text = pairs[0]
    try:
        if key == "least-release" and len(pairs) == 1:
            return p.LeastRelease(tuple(int(part) for part in text.split(".")))
        section, dot, name = key.rpartition(".")
        if not dot:
            raise click.UsageError(
                f"{key}: unknown; allowed are CLASS.FIELD, rules.KEY, allowed.KEY, least-release"
            )
        if section in ("rules", "allowed") and len(pairs) == 1:
            value = {"true": True, "false": False}.get(text)
            return p.SetRule(section, name, float(text) if value is None else value)
        if any(other.rpartition(".")[0] != section for other, _, _ in pairs) or section in (
            "rules",
            "allowed",
        ):
            raise click.UsageError("one change at a time: fields of one class, or one other key")
        return p.SetClass(section, {other.rpartition(".")[2]: float(value) for other, _, value in pairs})
    except ValueError as error:
        raise click.UsageError(f"{key}={text}: {error}") from error


def propose(fleet: Fleet, change: Any, reason: str, id: str | None, required: bool) -> None:
    from bitternpath.fleet.messages import Propose

    id = id or secrets.token_hex(8)
    told = fleet.ask(Propose(id, fleet.author, reason, change))
    version = told["version"]
    click.echo(f"agreed as version {version} (id {id})")
    if required:
        _await_effect(fleet, version)


def _await_effect(fleet: Fleet, version: int) -> None:
    """Until all who hold a lease act on it. Who does not answer or lags loses its lease, so that this ends;
    where half of the fleet refuses the change it ends by saying so."""
    said = ""
    while True:
        found, why = fleet.look()
        held = [h for h in found["holders"] if h.get("acting", -1) < version]
        if not why and found["released"] >= version and not held:
            click.echo(f"version {version} is in effect at {len(found['holders'])} processes")
            return
        refuse = [h for h in found["holders"] if h.get("refuses")]
        if refuse and 2 * len(refuse) >= len(found["holders"]):
            raise click.ClickException(
                f"version {version} is refused by {len(refuse)} of {len(found['holders'])}, first by "
                f"{refuse[0]['node']}: {refuse[0]['refuses']}; `bitternpath fleet withdraw {version}` ends it"
            )
        waits = ", ".join(f"{h['node']} ({lag(found, h)})" for h in held) or "the release"
        line = f"no majority: {why}" if why else f"waits for {waits}"
        if line != said:
            click.echo(line)
            said = line
        time.sleep(LOOK_EVERY)


def _changing(function: Callable[..., Any]) -> Callable[..., Any]:
    function = click.option("--required", is_flag=True, help="wait until all who hold a lease act on it")(
        function
    )
    function = click.option("--id", help="asked again with the same one, it is the same change")(function)
    return asks(click.option("--reason", required=True, help="why; it stands in the record")(function))


@command.command()
@_changing
@click.argument("words", nargs=-1, metavar="KEY=VALUE...")
def change(fleet: Fleet, words: tuple[str, ...], reason: str, id: str | None, required: bool) -> None:
    """Change a class, a rule, or the least release that may hold a lease, for all nodes."""
    propose(fleet, parsed(words), reason, id, required)


@command.command()
@_changing
@click.argument("worker")
def ban(fleet: Fleet, worker: str, reason: str, id: str | None, required: bool) -> None:
    """Nothing new to that calendar worker, from any node."""
    from bitternpath.fleet.plan import Ban

    propose(fleet, Ban(worker), reason, id, required)


@command.command()
@_changing
@click.argument("worker")
def back(fleet: Fleet, worker: str, reason: str, id: str | None, required: bool) -> None:
    """The fleet's ban of that calendar worker ends; one at a node's own console stays."""
    from bitternpath.fleet.plan import Unban

    propose(fleet, Unban(worker), reason, id, required)


@command.command()
@asks
@click.option("--reason", required=True, help="why; it stands in the record")
@click.argument("version", type=int)
def withdraw(fleet: Fleet, version: int, reason: str) -> None:
    """A version that is agreed and not released shall change nothing."""
    from bitternpath.fleet.messages import Withdraw

    fleet.ask(Withdraw(version, fleet.author, reason))
    click.echo(f"version {version} is withdrawn")


# ---- stewards


@command.group()
def members() -> None:
    """Which stewards keep the record; one is added or taken away at a time."""


@members.command("list")
@asks
def list_(fleet: Fleet) -> None:
    """The members, by name and incarnation."""
    found, why = fleet.look()
    _old(found, why)
    for id in found["voters"]:
        click.echo(f"{id} votes" + (", leads" if id == found["leader"] else ""))
    for id in found["learners"]:
        click.echo(f"{id} learns")


@members.command()
@asks
@click.argument("name")
def add(fleet: Fleet, name: str) -> None:
    """The steward NAME, which runs and has an empty folder, takes part; it votes once it has caught up."""
    from bitternpath.fleet.messages import ChangeMembers

    fleet.ask(ChangeMembers(add=name))
    click.echo(f"{name} is added")


@members.command()
@asks
@click.argument("name")
def remove(fleet: Fleet, name: str) -> None:
    """The steward NAME takes part no longer."""
    from bitternpath.fleet.messages import ChangeMembers

    fleet.ask(ChangeMembers(remove=name))
    click.echo(f"{name} is removed")


@members.command()
@asks
@click.argument("name")
def lead(fleet: Fleet, name: str) -> None:
    """The steward NAME shall lead."""
    from bitternpath.fleet.messages import PassOn

    fleet.ask(PassOn(name))
    click.echo(f"leadership passes to {name}")
