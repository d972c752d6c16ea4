"""Client and options shared by the commands of `bitternpath fleet`."""

from __future__ import annotations

import getpass
import os
from collections.abc import Callable
from functools import wraps
from typing import Any

import click
import msgspec

from bitternpath.balancer.config.operator import read_settings
from bitternpath.balancer.config.platform import Address, ConfigError, address
from bitternpath.cli.options import given_flags, operator_options
from bitternpath.cli.run import report_error


class FleetClient:
    """Sends commands to the consensus servers in the name of `author`, waiting `within` s for an answer."""

    def __init__(self, servers: dict[str, Address], author: str, within: float) -> None:
        self.servers, self.author, self.within = servers, author, within

    def send(self, command: Any) -> Any:
        """Send a command and return the reply's data; exit with 1 if it is refused or not answered."""
        from bitternpath.balancer.fleet.client import NoAnswerError, send_command

        try:
            reply = send_command(self.servers, command, self.author, self.within)
        except NoAnswerError as error:
            raise click.ClickException(f"no consensus server with a majority answers: {error}") from error
        if not reply.ok:
            raise click.ClickException(reply.text)
        return msgspec.msgpack.decode(reply.data)

    def query(self, what: str = "status") -> tuple[dict[str, Any], str]:
        from bitternpath.balancer.fleet.client import NoAnswerError, query
        from bitternpath.balancer.fleet.messages import Query

        try:
            return query(self.servers, Query(what), self.author, self.within)
        except NoAnswerError as error:
            raise click.ClickException(f"no consensus server answers: {error}") from error


def with_fleet_client(function: Callable[..., Any]) -> Callable[..., Any]:
    """Decorator: passes a `FleetClient` made from the operator file and the flags."""

    @wraps(function)
    def wrapper(operator_file: str | None, within: float, author: str | None, **arguments: Any) -> Any:
        flags = {name: arguments.pop(name) for name in list(arguments) if "__" in name}
        context = click.get_current_context()
        try:
            settings = read_settings(operator_file, os.environ, given_flags(flags)).settings.fleet
            if not settings.stewards:
                raise ConfigError(
                    "fleet.stewards: no consensus server is named; give --fleet-stewards or --operator-file"
                )
            pairs = [each.partition("=") for each in settings.stewards]
            servers = {name: address(host_port) for name, _, host_port in pairs}
        except (ConfigError, ValueError) as error:
            context.exit(report_error(error))
        return function(FleetClient(servers, author or getpass.getuser(), within), **arguments)

    wrapper = click.option("--author", metavar="NAME", help="who gives the command; default: your user name")(
        wrapper
    )
    wrapper = click.option(
        "--within", default=5.0, show_default=True, metavar="S", help="how long to wait for an answer"
    )(wrapper)
    return operator_options(wrapper)


as_json = click.option("--json", "json", is_flag=True, help="print all data as JSON")
