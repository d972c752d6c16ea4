"""Tests of the storage package."""
