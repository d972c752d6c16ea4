"""Errors of the configuration package: one tree; each class says whose fault it is and if a retry helps."""

from __future__ import annotations


class ConfigurationError(Exception):
    """Base of all errors that this package raises."""


class InvalidConfigurationError(ConfigurationError, ValueError):
    """A document or patch that breaks a rule of the format: the sender's fault.

    Sending the same bytes again doesn't help. The text says which field is wrong and what is allowed;
    operators get it as `error` of the response (result code INVALID).
    """


class InvalidBaseVersionError(ConfigurationError, ValueError):
    """An `If-Match` that is no version number: the sender's fault; sending it again doesn't help."""
