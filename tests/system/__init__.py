"""Tests of the ingest and dispatch service."""
