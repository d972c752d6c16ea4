"""`bitternpath user`: password hashes for the operator file."""

from __future__ import annotations

import sys

import click


@click.group()
def command() -> None:
    """Make password hashes for the operator file."""


@command.command(
    "hash",
    epilog="""\b
Examples:
  bitternpath user hash reminders
  printf %s "$PASSWORD" | bitternpath user hash reminders
""",
)
@click.argument("name")
def hash_(name: str) -> None:
    """Print the operator file's lines for NAME; asks for the password, or reads it from standard input."""
    from bitternpath.balancer.config.passwords import hash_password

    if sys.stdin.isatty():
        password = click.prompt("Password", hide_input=True, confirmation_prompt=True)
    else:
        password = sys.stdin.readline().rstrip("\r\n")
    if not password:
        raise click.UsageError("the password is empty; 1 byte or more is needed")
    quoted = '"' + name.replace("\\", "\\\\").replace('"', '\\"') + '"'
    click.echo(f'[amqp.users.{quoted}]\npassword = "{hash_password(password.encode())}"')
