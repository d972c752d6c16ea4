"""Durable state of one node: the write-ahead log of its replica groups, documents, the identity of the disk.

On-disk formats and recovery are described in `docs/design/storage.md`. Modules, from the bottom up:

- `errors`: exceptions for corrupt files
- `files`: file system operations, behind a protocol that tests and simulations replace
- `records`, `record_format`: records of the write-ahead log and their framing
- `group_state`: the state of each replica group, built by replaying the records
- `segment_loading`, `segment_files`, `snapshots`: reading and writing the log's files
- `checkpoint`, `scrub`, `segments`: truncating, verifying and operating the log
- `journal_writer`, `journal_writer_thread`, `journal`: group commit in a dedicated thread
- `documents`, `document_writer`, `identity`, `quarantine`, `node_disk`: the other files of a data directory
"""
