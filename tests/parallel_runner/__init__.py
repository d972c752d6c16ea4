"""Runs the tests that nose2 has loaded in several processes; `unittest.cfg` at the root switches it on.

nose2's own plugin for this (`nose2.plugins.mp` of 0.16) is not used, for three reasons: it never ends where a
test's process dies; it passes a test whose exception can't be pickled; and it forks processes, which then
share the epoll instance of the parent's Twisted reactor.
"""
