"""Tests of the discovery package."""
