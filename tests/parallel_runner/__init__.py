"""Runs the tests that nose2 has loaded in several processes; enabled by `unittest.cfg` at the root.

nose2's own plugin, `nose2.plugins.mp` of 0.16, is not used for three reasons: it hangs when a worker process
dies, it reports a test as passed if its exception can't be pickled, and it forks workers, which then share
the epoll instance of the parent's Twisted reactor.
"""
