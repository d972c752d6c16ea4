"""`python -m bitternpath`."""

import gc
import sys

gc.disable()  # until the node is up: what is imported stays, and each look through it takes time

from bitternpath.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
