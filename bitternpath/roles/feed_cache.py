"""The document in which a storage node stores the last state that it received from the configuration feed.

It allows shards to open after a restart while no owner of the configuration group can be reached.
"""

from __future__ import annotations

import json
from pathlib import Path

import logbook

from bitternpath.configuration.feed_client import FeedClient
from bitternpath.configuration.feed_documents import pack_document
from bitternpath.net.reactor import NodeReactor
from bitternpath.storage.document_writer import DocumentWriter
from bitternpath.storage.errors import CorruptDocumentError
from bitternpath.storage.node_disk import NodeDisk
from bitternpath.transport.codec import RecordCodec
from bitternpath.transport.feed_messages import FeedUpdate

log = logbook.Logger("storage")

CACHE_DOCUMENT = "feed"  # name of the document in the data folder
CACHE_CODEC = RecordCodec(FeedUpdate)


class FeedCache:
    """Saves the state of a `FeedClient`, and restores it when the next process starts."""

    def __init__(self, reactor: NodeReactor, data_dir: Path, disk: NodeDisk, feed: FeedClient) -> None:
        """`feed` is saved to, and restored from, a document on `disk`, whose folder is `data_dir`."""
        self._disk = disk
        self._feed = feed
        self._writer = DocumentWriter(reactor, data_dir / CACHE_DOCUMENT, disk)

    def load(self) -> None:
        """Restore the feed from the document, if there is one.

        A document that can't be read is removed: the feed delivers its content again.
        """
        try:
            data = self._disk.read_document(CACHE_DOCUMENT)
            if data is None:
                return
            update: FeedUpdate = CACHE_CODEC.decode(data)
            self._feed.restore(update)
        except (CorruptDocumentError, ValueError) as error:  # of `decode` or `restore`
            log.warning("event=feed_cache_discarded error={!r}", str(error))
            self._disk.remove_document(CACHE_DOCUMENT)
            return
        log.info(
            "event=feed_cache_loaded version={} generation={}",
            update.configuration_version,
            update.placement_generation,
        )

    def save(self) -> None:
        """Write the feed's current state in a thread; a failed write is retried."""
        feed = self._feed
        document = pack_document(json.dumps(feed.document).encode()) if feed.document else None
        update = FeedUpdate(
            0, feed.version, document, feed.placement_generation, feed.groups, feed.edge_node_count
        )
        self._writer.write(CACHE_CODEC.encode(update))
