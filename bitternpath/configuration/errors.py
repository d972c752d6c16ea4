"""Errors of the operator's configuration."""

from __future__ import annotations


class InvalidConfiguration(ValueError):
    """A configuration that must be refused; the text says what, where, and what is allowed."""
