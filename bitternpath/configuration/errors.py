"""Exceptions of the configuration package, with the responsible party and whether a retry helps."""

from __future__ import annotations


class ConfigurationError(Exception):
    """Base class of all errors that this package raises."""


class InvalidConfigurationError(ConfigurationError, ValueError):
    """A document or patch violates the format: the sender's fault, and a retry doesn't help.

    The message names the invalid field and the permitted values. Operators receive it as `error` in the
    response (result code INVALID).
    """


class InvalidBaseVersionError(ConfigurationError, ValueError):
    """An `If-Match` header isn't a version number: the sender's fault, and a retry doesn't help."""
