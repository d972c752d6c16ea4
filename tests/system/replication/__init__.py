"""Tests of replication: consensus members alone, hosts with scripted peers, groups in virtual time."""
