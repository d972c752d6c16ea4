"""`bitternpath system check-disk`: reads a data folder as a node's start would, without changing it."""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path

from twisted.internet import reactor

from bitternpath.membership.bootstrap import BOOTSTRAP_DOCUMENT, BootstrapFile
from bitternpath.roles.feed_cache import CACHE_CODEC, CACHE_DOCUMENT
from bitternpath.storage.documents import read_document
from bitternpath.storage.errors import CorruptDocumentError, CorruptJournalError
from bitternpath.storage.identity import read_identity
from bitternpath.storage.journal import Journal, open_journal
from bitternpath.storage.quarantine import quarantine_directories
from bitternpath.transport.errors import CodecError
from bitternpath.transport.feed_messages import FeedUpdate

DATA_COPY = "data"  # name of the copy in the temporary folder; messages about damage don't contain it


def print_disk(folder: Path) -> bool:
    """Print what a node's start would find; False if anything is damaged or can't be read.

    A start may truncate the journal and remove drafts, so a copy of the folder is read.
    """
    if not folder.is_dir():
        print(f"{folder}: no such folder")
        return False
    try:
        with tempfile.TemporaryDirectory() as scratch:
            scratch_copy = Path(scratch) / DATA_COPY
            quarantined = quarantine_directories(folder)
            shutil.copytree(folder, scratch_copy, ignore=shutil.ignore_patterns(*quarantined))
            _print_content(scratch_copy)
        for name in quarantined:
            print(f"  set aside: {name}")
    except (CorruptJournalError, CorruptDocumentError) as damage:
        print(f"damaged: {damage.file} at offset {damage.offset}: {damage.reason}")
        return False
    except CodecError as error:
        print(f"damaged: {folder / BOOTSTRAP_DOCUMENT}: {error}")
        return False
    except OSError as error:
        print(f"{folder}: can't be read: {error}")
        return False
    return True


def _print_content(folder: Path) -> None:
    """Print the folder's content; raises what a start would. Changes the folder as a start does."""
    identity = read_identity(folder)
    decision = BootstrapFile(folder).load()
    sizes = _segment_sizes(folder)
    journal = open_journal(folder, reactor)
    try:
        print(f"identity={identity is not None} bytes={journal.bytes_used}")
        _print_torn_tail(folder, sizes, journal)
        _print_groups(journal)
    finally:
        journal.close()
    if decision is not None:
        print(f"  founding system={decision.system} members={len(decision.group.members)}")
    _print_cache(folder / CACHE_DOCUMENT)


def _segment_sizes(folder: Path) -> dict[str, int]:
    return {path.name: path.stat().st_size for path in sorted(folder.glob("journal/segment-*.log"))}


def _print_torn_tail(folder: Path, sizes: dict[str, int], journal: Journal) -> None:
    """Print how much of the last segment a start truncates: a batch whose write was interrupted."""
    snapshots = sum(path.stat().st_size for path in folder.glob("snapshots/*"))
    truncated = sum(sizes.values()) - (journal.bytes_used - snapshots)
    if truncated:
        last = max(sizes)
        position = f"journal/{last} at offset {sizes[last] - truncated}"
        print(f"  torn tail: {position}: {truncated} bytes aren't a complete batch and are truncated")


def _print_groups(journal: Journal) -> None:
    for group in sorted(journal.groups()):
        state = journal.take_persistent_state(group)
        if state is not None:
            last = state.entries[-1].index if state.entries else state.compacted_through[0]
            print(
                f"  {group} term={state.term} snapshot_index={state.snapshot.index}"
                f" entries={len(state.entries)} last_index={last}"
            )


def _print_cache(path: Path) -> None:
    """Print the feed's cache; a damaged one is no fault, because a start drops it."""
    try:
        data = read_document(path)
        if data is None:
            return
        update: FeedUpdate = CACHE_CODEC.decode(data)
    except (CorruptDocumentError, CodecError) as error:
        print(f"  {CACHE_DOCUMENT} is damaged, a start drops it: {error}")
        return
    print(
        f"  {CACHE_DOCUMENT} version={update.configuration_version} generation={update.placement_generation}"
    )
