"""The command line.

Exit codes: 0 success; 1 the command ran, and failed or found an error; 2 invalid arguments or configuration.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence
from typing import Any


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line and return the exit code."""
    argument_list = list(sys.argv[1:] if arguments is None else arguments)
    if not argument_list and "_BITTERNPATH_COMPLETE" not in os.environ:
        # How the platform starts a node; few imports, because clients wait for a restarting node.
        from bitternpath.cli.run import run

        return run(None, None, {})
    if argument_list in (["edge"], ["storage"]):
        # A role of the system; few imports for the same reason.
        from bitternpath.roles.process import run_role

        return run_role(argument_list[0])
    if argument_list[:1] == ["system"]:
        from bitternpath.cli.system import main as system

        return system(argument_list[1:])
    import click

    from bitternpath.cli.top import top

    try:
        code: Any = top.main(argument_list, prog_name="bitternpath", standalone_mode=False)
    except click.exceptions.Exit as exit_request:
        code = exit_request.exit_code
    except click.Abort:
        code = 1
    except click.ClickException as error:
        error.show()
        code = error.exit_code
    return int(code or 0)
