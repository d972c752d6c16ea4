"""Tests of `bitternpath.transport`."""
