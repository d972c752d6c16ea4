"""`python -m bitternpath`."""

import sys

from bitternpath.cli import main

if __name__ == "__main__":
    sys.exit(main())
