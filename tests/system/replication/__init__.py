"""Tests of replication: single consensus members, hosts with scripted peers, groups in virtual time."""
