"""`bitternpath user`: password hashes for the operator file."""

from __future__ import annotations

import sys

import click


@click.group()
def command() -> None:
    """Create password hashes for the operator file."""


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
    """Print the operator file's lines for NAME; prompts for the password, or reads it from standard input."""
    from bitternpath.balancer.config.passwords import hash_password

    if sys.stdin.isatty():
        password = click.prompt("Password", hide_input=True, confirmation_prompt=True)
    else:
        password = sys.stdin.readline().rstrip("\r\n")
    if not password:
        raise click.UsageError("the password is empty; it needs at least 1 byte")
    quoted = '"' + name.replace("\\", "\\\\").replace('"', '\\"') + '"'
    click.echo(f'[amqp.users.{quoted}]\npassword = "{hash_password(password.encode())}"')
