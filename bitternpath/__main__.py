"""`python -m bitternpath`."""

import gc
import signal
import sys

gc.disable()  # until the node is up: what is imported stays, and each collection scans it
if sys.argv[1:2] in ([], ["serve"], ["edge"], ["storage"]):
    # They wait until the node listens for them: a SIGHUP would end a process that is starting.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM))
if sys.argv[1:2] in (["edge"], ["storage"]):
    # Nothing in the system speaks TLS, and Twisted does without where this can't be imported: 5 MB a process.
    sys.modules["OpenSSL"] = None  # type: ignore[assignment]

from bitternpath.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
