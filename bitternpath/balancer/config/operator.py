"""The operators' settings: a TOML file, environment variables and flags; flag > environment > file > default.

Typed and bound-checked by msgspec: it converts what tomllib read, and strings from the environment and flags,
into the same types, and refuses unknown keys. Everything is off by default. All or nothing: the first fault
ends the reading with one line that names where it stands, the key, the value, and what is allowed.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Annotated, Any, Literal, get_args, get_origin, get_type_hints

import msgspec
from msgspec import Meta, Struct

from bitternpath.balancer.config.platform import ConfigError

PREFIX = "BITTERNPATH_"
FILE_VARIABLE = "BITTERNPATH_OPERATOR_FILE"


class Log(Struct, frozen=True, forbid_unknown_fields=True):
    """How the node logs, to standard error."""

    level: Annotated[
        Literal["debug", "info", "warning", "error"],
        Meta(description="the least severe lines written"),
    ] = "info"
    format: Annotated[Literal["kv", "json"], Meta(description="key=value pairs, or JSON for machines")] = "kv"
    per_second: Annotated[
        int, Meta(ge=1, le=1_000_000, description="lines of one event in a second, at most")
    ] = 50


class User(Struct, frozen=True, forbid_unknown_fields=True):
    """Somebody who may connect over AMQP."""

    # scrypt:N:r:p:salt:hash with the last two in hex, as `bitternpath user hash` prints it
    password: Annotated[
        str,
        Meta(pattern=r"^scrypt:[0-9]{1,7}:[0-9]{1,2}:[0-9]{1,2}:([0-9a-f]{2}){8,64}:([0-9a-f]{2}){16,64}$"),
    ]
    vhosts: list[str] = msgspec.field(default_factory=lambda: ["/"])


class Amqp(Struct, frozen=True, forbid_unknown_fields=True):
    """AMQP 0-9-1. Off, and not imported, while `listen` is empty."""

    listen: Annotated[
        str,
        Meta(
            pattern=r"^$|^[^\s:]+:[0-9]{1,5}$",
            title="HOST:PORT, or empty",
            description="where it listens; empty: off, port 0: any",
        ),
    ] = ""
    vhosts: Annotated[list[str], Meta(description="virtual hosts that a connection may open")] = (
        msgspec.field(default_factory=lambda: ["/"])
    )
    users: Annotated[
        dict[str, User],
        Meta(
            description="who may connect; none: guest/guest, from loopback only. As a flag or variable: JSON"
        ),
    ] = msgspec.field(default_factory=dict)
    requeue_unstarted: Annotated[
        list[str],
        Meta(description="classes whose subscribers requeue only what they have not begun: it never ran"),
    ] = msgspec.field(default_factory=list)
    heartbeat: Annotated[
        int, Meta(ge=0, le=3600, description="seconds between heartbeats that the node asks for; 0: none")
    ] = 60
    max_connections: Annotated[
        int, Meta(ge=1, le=65536, description="connections at once; as many sockets are kept for them")
    ] = 256
    max_waiting: Annotated[
        int,
        Meta(
            ge=1,
            le=1_000_000,
            description="invocations of all publishers that wait, at most half of what the node holds",
        ),
    ] = 1000
    publisher_waiting: Annotated[
        int, Meta(ge=1, le=1_000_000, description="the same of one connection; it is not read while at it")
    ] = 256
    channel_max: Annotated[int, Meta(ge=1, le=2047, description="channels of one connection")] = 64
    frame_max: Annotated[int, Meta(ge=4096, le=1 << 20, description="bytes of a frame")] = 131072
    prefetch_cap: Annotated[
        int, Meta(ge=1, le=1000, description="places of a subscriber at most, and where its prefetch is 0")
    ] = 16
    subscribers: Annotated[int, Meta(ge=1, le=4096, description="consumers of one connection")] = 64
    reply_queues: Annotated[int, Meta(ge=1, le=4096, description="private queues of one connection")] = 16
    reply_queue_bytes: Annotated[
        int, Meta(ge=65536, le=1 << 28, description="bytes that wait in one private queue")
    ] = 1 << 20
    unread_bytes: Annotated[
        int, Meta(ge=262144, le=1 << 30, description="bytes written for a peer that it has not taken yet")
    ] = 4 << 20


Steward = Annotated[str, Meta(pattern=r"^[A-Za-z0-9_-]{1,64}=[^\s:]+:[0-9]{1,5}$", title="NAME=HOST:PORT")]


class Fleet(Struct, frozen=True, forbid_unknown_fields=True):
    """Many processes that agree (docs/operate/fleet.md). Off, and not imported, while `stewards` is empty."""

    name: Annotated[
        str, Meta(pattern=r"^[A-Za-z0-9_-]{0,64}$", title="letters, digits, - and _",
                  description="a steward's name, as `stewards` has it; a node's own is the platform's"),
    ] = ""  # fmt: skip
    listen: Annotated[
        str, Meta(pattern=r"^$|^[^\s:]+:[0-9]{1,5}$", title="HOST:PORT, or empty",
                  description="where a steward listens; empty: as `stewards` says of it"),
    ] = ""  # fmt: skip
    folder: Annotated[
        str,
        Meta(description="what lasts: a steward's record, a node's acts; empty: a node keeps them in memory"),
    ] = ""
    stewards: Annotated[
        list[Steward],
        Meta(description="all stewards, each as NAME=HOST:PORT; none: off"),
    ] = msgspec.field(default_factory=list)  # fmt: skip
    site: Annotated[str, Meta(description="the site of this process; a node's own is the platform's")] = ""
    lease: Annotated[
        float,
        Meta(ge=1.0, le=60.0, description="s that a node's lease holds; counts when a fleet is founded"),
    ] = 4.0
    catch_up: Annotated[
        float,
        Meta(ge=1.0, le=600.0, description="s for which a node may lag; counts when a fleet is founded"),
    ] = 5.0
    drift: Annotated[
        float,
        Meta(ge=0.0, le=0.2, description="share by which clocks run apart; counts when a fleet is founded"),
    ] = 0.02
    alone: Annotated[
        Literal["serve", "leave"], Meta(description="what a node does without a lease: serve on, or leave")
    ] = "serve"


class Operator(Struct, frozen=True, forbid_unknown_fields=True):
    """All sections."""

    log: Log = Log()
    amqp: Amqp = Amqp()
    fleet: Fleet = Fleet()


# Keys that need a restart; a reload reports those that differ.
RESTART_ONLY_KEYS = (
    "log.level", "log.format", "log.per_second", "amqp.listen", "amqp.max_connections",
    *(f"fleet.{key}" for key in Fleet.__struct_fields__),
)  # fmt: skip


class EffectiveSettings:
    """The settings and the source of each value."""

    def __init__(self, settings: Operator, origin: dict[str, str]) -> None:
        self.settings, self.origin = settings, origin

    def lines(self) -> Iterator[str]:
        """Yield `section.key = value (origin)` for display, without secrets."""
        for path, _ in setting_keys():
            value = self.value(path)
            displayed = (
                {name: {"vhosts": u.vhosts} for name, u in value.items()} if path == "amqp.users" else value
            )
            yield f"{path} = {msgspec.json.encode(displayed).decode()} ({self.origin.get(path, 'default')})"

    def value(self, path: str) -> Any:
        """The value of the key `section.key`."""
        section, _, key = path.partition(".")
        return getattr(getattr(self.settings, section), key)


def setting_keys() -> Iterator[tuple[str, Any]]:
    """Yield every key as `section.key` with its type."""
    for section in Operator.__struct_fields__:
        section_type = get_type_hints(Operator)[section]
        for key, hint in get_type_hints(section_type, include_extras=True).items():
            yield f"{section}.{key}", hint


def key_metadata(hint: Any) -> Meta:
    """The description and constraints of a key in the schema."""
    metadata: Meta = next(
        (annotation for annotation in getattr(hint, "__metadata__", ()) if isinstance(annotation, Meta)),
        Meta(),
    )
    return metadata


def environment_variable(path: str) -> str:
    """The environment variable that sets a key."""
    return PREFIX + path.replace(".", "_").upper()


def flag_name(path: str) -> str:
    """The command-line option that sets a key."""
    return "--" + path.replace(".", "-").replace("_", "-")


def read_settings(
    path: str | None, environ: Mapping[str, str], flags: Mapping[str, str]
) -> EffectiveSettings:
    """Read file, environment and flags.

    `path`, or else BITTERNPATH_OPERATOR_FILE, names the file; `flags` has values by key.
    """
    path = path or environ.get(FILE_VARIABLE) or None
    tree: dict[str, Any] = {}
    origin: dict[str, str] = {}
    if path is not None:
        tree = _read_file(path)
        _convert(tree, Operator, path, tree)
        for section, values in tree.items():
            origin |= {f"{section}.{key}": path for key in values}
    types = dict(setting_keys())
    variables = {environment_variable(key): key for key in types}
    for name in sorted(environ):
        if name.startswith(PREFIX) and name != FILE_VARIABLE and name not in variables:
            allowed = _joined([FILE_VARIABLE, *variables])
            raise ConfigError(f"environment: {name} = {environ[name]!r}: unknown; allowed are {allowed}")
    for name, key in variables.items():
        if name in environ:
            _set_value(tree, key, _parse_text(environ[name], types[key], name))
            origin[key] = name
    for key, text in flags.items():
        _set_value(tree, key, _parse_text(text, types[key], flag_name(key)))
        origin[key] = flag_name(key)
    return EffectiveSettings(_convert(tree, Operator, path or "settings", tree), origin)


def changes_requiring_restart(before: Operator, now: Operator) -> list[str]:
    """The keys that differ and need a restart to take effect."""
    old, new = EffectiveSettings(before, {}), EffectiveSettings(now, {})
    return [path for path in RESTART_ONLY_KEYS if old.value(path) != new.value(path)]


def _read_file(path: str) -> dict[str, Any]:
    import tomllib  # only needed for a file

    try:
        return tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except ValueError as error:  # includes errors of TOML and Unicode decoding
        raise ConfigError(f"{path}: not TOML: {' '.join(str(error).split())}") from error


def _set_value(tree: dict[str, Any], path: str, value: Any) -> None:
    section, _, key = path.partition(".")
    tree.setdefault(section, {})[key] = value


def _parse_text(text: str, kind: Any, source: str) -> Any:
    """Convert a string: comma-separated lists, JSON for tables, other types directly."""
    origin = get_origin(kind.__origin__ if hasattr(kind, "__metadata__") else kind)
    if origin is dict:
        try:
            value: Any = msgspec.json.decode(text)
        except msgspec.DecodeError as error:
            raise ConfigError(f"{source}: {text!r}: not JSON: {error}") from error
    elif origin is list:
        value = [part.strip() for part in text.split(",") if part.strip()]
    else:
        value = text
    converted = _convert(value, kind, source, value, strict=False)
    return msgspec.to_builtins(converted)


_ERROR_PATH = re.compile(r" - at `(?:key in )?\$([^`]*)`$")
_UNKNOWN_FIELD = re.compile(r"unknown field `([^`]*)`")


def _convert(value: Any, kind: Any, source: str, tree: Any, strict: bool = True) -> Any:
    try:
        return msgspec.convert(value, kind, strict=strict)
    except msgspec.ValidationError as error:
        text = str(error)
        match = _ERROR_PATH.search(text)
        path = (match[1] if match else "").strip(".")
        message = _ERROR_PATH.sub("", text)
        if unknown := _UNKNOWN_FIELD.search(message):
            full_path = ".".join(part for part in (path, unknown[1]) if part)
            rejected = _value_at(tree, full_path)
            raise ConfigError(
                f"{source}: {full_path} = {rejected!r}: unknown key; "
                f"allowed are {_joined(_field_names(kind, path))}"
            ) from error
        hint = kind if hasattr(kind, "__metadata__") else dict(setting_keys()).get(path)
        allowed = _allowed(hint) if hint is not None else message[0].lower() + message[1:]
        if path.endswith("password"):
            raise ConfigError(f"{source}: {path}: not a hash; `bitternpath user hash` makes one") from error
        prefix = f"{source}: {path} = " if path else f"{source}: "
        raise ConfigError(f"{prefix}{_value_at(tree, path)!r}: {allowed}") from error


def _allowed(hint: Any) -> str:
    """Describe the allowed values of a key."""
    kind, meta = getattr(hint, "__origin__", hint), key_metadata(hint)
    if meta.title:
        return f"allowed is {meta.title}"
    if get_origin(kind) is Literal:
        return f"allowed are {_joined(get_args(kind))}"
    if kind is float:
        return f"allowed is a number from {meta.ge:g} to {meta.le:g}"
    if kind is int:
        return f"allowed is a whole number from {meta.ge} to {meta.le}"
    if kind is str:
        return "allowed is a text"
    return "allowed is a list of texts" if get_origin(kind) is list else "allowed is a table"


def _value_at(tree: Any, path: str) -> Any:
    """The value at a path such as `amqp.vhosts[0]`, where `...` stands for any key of a table."""
    for part in re.findall(r"[^.\[\]]+|\.{3}", path):
        try:
            tree = tree[int(part)] if isinstance(tree, list) else tree[part]
        except (KeyError, IndexError, ValueError, TypeError):
            return "..."
    return tree


def _field_names(kind: Any, path: str) -> list[str]:
    for part in [p for p in path.split(".") if p]:
        hints = get_type_hints(kind) if isinstance(kind, type) and issubclass(kind, Struct) else {}
        kind = hints.get(part, User)  # `users` maps names to the fields of a user
        kind = get_args(kind)[-1] if get_origin(kind) is dict else kind
    return list(getattr(kind, "__struct_fields__", ()))


def _joined(names: Any) -> str:
    return ", ".join(names)
