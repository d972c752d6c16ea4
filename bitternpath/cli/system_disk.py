"""`bitternpath system check-disk`: reads a data folder without changing it."""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path

from twisted.internet import reactor

from bitternpath.storage.journal import open_journal
from bitternpath.storage.records import JournalDamaged


def print_disk(folder: Path) -> bool:
    """Print what a start would find; False where something is damaged. Works on a copy."""
    if not folder.is_dir():
        print(f"{folder}: no such folder")
        return False
    with tempfile.TemporaryDirectory() as scratch:
        copy = Path(scratch) / "data"
        shutil.copytree(folder, copy)
        try:
            journal = open_journal(copy, reactor)
        except JournalDamaged as damage:
            print(f"damaged: {damage}")
            return False
        print(f"identity={(folder / 'identity').exists()} bytes={journal.bytes_used}")
        for group in sorted(journal.groups()):
            kept = journal.take_kept(group)
            if kept is not None:
                last = kept.entries[-1].index if kept.entries else kept.before[0]
                print(
                    f"  {group} term={kept.term} snapshot_index={kept.snapshot.index}"
                    f" entries={len(kept.entries)} last_index={last}"
                )
        journal.close()
    return True
