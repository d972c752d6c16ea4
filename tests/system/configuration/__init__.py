"""Tests of `bitternpath.configuration`."""
