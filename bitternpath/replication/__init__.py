"""Replication: consensus of one replica group, and many groups in one process."""
