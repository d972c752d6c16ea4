"""`bitternpath system check-disk`: reads a data folder without changing it."""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path

from twisted.internet import reactor

from bitternpath.membership.bootstrap import BootstrapFile
from bitternpath.storage.documents import CorruptDocumentError, read_document
from bitternpath.storage.identity import quarantine_folders, read_identity
from bitternpath.storage.journal import Journal, open_journal
from bitternpath.storage.records import CorruptJournalError
from bitternpath.transport.codec import CodecError, RecordCodec
from bitternpath.transport.feed_messages import FeedUpdate

CACHE = "feed"
_CACHE_CODEC = RecordCodec(FeedUpdate)


def print_disk(folder: Path) -> bool:
    """Print what a start would find; False where something is damaged or can't be read. Works on a copy."""
    if not folder.is_dir():
        print(f"{folder}: no such folder")
        return False
    try:
        with tempfile.TemporaryDirectory() as scratch:
            copy = Path(scratch) / "data"
            aside = quarantine_folders(folder)
            shutil.copytree(folder, copy, ignore=shutil.ignore_patterns(*aside))
            _print_copy(copy)
        for name in aside:
            print(f"  set aside: {name}")
    except (CorruptJournalError, CorruptDocumentError) as damage:
        print(f"damaged: {damage.file} at offset {damage.offset}: {damage.reason}")
        return False
    except CodecError as error:
        print(f"damaged: {folder / 'founding'}: {error}")
        return False
    except OSError as error:
        print(f"{folder}: can't be read: {error}")
        return False
    return True


def _print_copy(copy: Path) -> None:
    """Raises what a start would."""
    identity = read_identity(copy)
    founding = BootstrapFile(copy).load()
    sizes = _segment_sizes(copy)
    journal = open_journal(copy, reactor)
    try:
        print(f"identity={identity is not None} bytes={journal.bytes_used}")
        _print_cut(copy, sizes, journal)
        _print_groups(journal)
    finally:
        journal.close()
    if founding is not None:
        print(f"  founding system={founding.system} members={len(founding.group.members)}")
    _print_cache(copy / CACHE)


def _segment_sizes(copy: Path) -> dict[str, int]:
    return {path.name: path.stat().st_size for path in sorted(copy.glob("journal/segment-*.log"))}


def _print_cut(copy: Path, sizes: dict[str, int], journal: Journal) -> None:
    """Only the last segment may end with what isn't a whole batch."""
    snapshots = sum(path.stat().st_size for path in copy.glob("snapshots/*"))
    cut = sum(sizes.values()) - (journal.bytes_used - snapshots)
    if cut:
        last = max(sizes)
        offset = sizes[last] - cut
        print(f"  torn tail: journal/{last} at offset {offset}: {cut} bytes are no whole batch, and are cut")


def _print_groups(journal: Journal) -> None:
    for group in sorted(journal.groups()):
        kept = journal.take_persistent_state(group)
        if kept is not None:
            last = kept.entries[-1].index if kept.entries else kept.compacted_through[0]
            print(
                f"  {group} term={kept.term} snapshot_index={kept.snapshot.index}"
                f" entries={len(kept.entries)} last_index={last}"
            )


def _print_cache(path: Path) -> None:
    """The cache of the feed may be damaged: a start drops it."""
    try:
        data = read_document(path)
        if data is None:
            return
        update: FeedUpdate = _CACHE_CODEC.decode(data)
    except (CorruptDocumentError, CodecError) as error:
        print(f"  {CACHE} is damaged, a start drops it: {error}")
        return
    print(f"  {CACHE} version={update.configuration_version} generation={update.placement_generation}")
