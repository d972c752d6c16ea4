"""All names of the program that the pinned tests and scripts use, in one place: a renaming changes only this.

The left-hand names are the tests' own and stay.
"""

from __future__ import annotations

from typing import Any

from bitternpath.balancer import settings as node_settings
from bitternpath.balancer.config import platform as node_config
from bitternpath.balancer.fleet import audit as fleet_audit
from bitternpath.balancer.fleet import messages as fleet_messages
from bitternpath.balancer.fleet import node_folder as fleet_files
from bitternpath.balancer.fleet import plan as fleet_plan
from bitternpath.balancer.fleet import store as fleet_store
from bitternpath.balancer.handover import messages as handover_messages
from bitternpath.balancer.store import ejection_files
from bitternpath.configuration import change_requests, feed_documents, results
from bitternpath.configuration import commands as configuration_commands
from bitternpath.configuration import state_machine as configuration_state
from bitternpath.queue import commands as queue_commands
from bitternpath.queue import sharding
from bitternpath.queue import snapshot as queue_snapshot
from bitternpath.replication import messages as replication_messages
from bitternpath.replication import records as replication_records
from bitternpath.replication import wire as replication_wire
from bitternpath.roles import process as role_process
from bitternpath.storage import documents as storage_documents
from bitternpath.storage import record_format
from bitternpath.storage import records as storage_records
from bitternpath.storage import snapshots as storage_snapshots
from bitternpath.testing.emulator.fleet import campaign as fleet_campaign
from bitternpath.testing.simulation.runs import draw as simulation_draw
from bitternpath.testing.simulation.runs import play as simulation_play
from bitternpath.transport import codec, feed_messages, frames, group_messages
from bitternpath.transport import messages as link_messages

# Sets of records: a record is one byte for its number, then its Avro bytes.
RECORD_SETS: dict[str, Any] = {
    "links": link_messages.RECORDS,
    "consensus": replication_wire.MESSAGES,
    "queue commands": queue_commands.COMMANDS,
    "configuration commands": configuration_commands.COMMANDS,
}

# Records that stand alone in Avro: files and parts of files.
AVRO_RECORDS: dict[str, type] = {
    "founding and decider": group_messages.BootstrapDecision,
    "cache of the feed": feed_messages.FeedUpdate,
    "configuration snapshot": configuration_state.ConfigurationSnapshot,
    "queue snapshot header": queue_snapshot.SnapshotHeader,
    "queue snapshot message": queue_snapshot.SavedEntry,
}

# Records in msgpack that stand alone.
MSGPACK_RECORDS: dict[str, type] = {
    "log entry": replication_records.Entry,
    "members": replication_records.Members,
    "snapshot": replication_records.Snapshot,
    "fleet plan": fleet_plan.Plan,
    "fleet record": fleet_plan.Record,
    "audit line": fleet_audit.AuditEntry,
}

# Unions of tagged records of the older node, with the function that encodes one and the one that decodes.
FLEET_MESSAGES: Any = fleet_messages.FleetMessage
FLEET_CHANGES: Any = fleet_plan.Change
FLEET_COMMANDS: Any = fleet_messages.Command
CONSENSUS_MESSAGES: Any = replication_messages.Message
FLEET_ITEMS: Any = fleet_plan.Item
HANDOVER_MESSAGES: Any = handover_messages.Message
fleet_frame = fleet_messages.encode_frame
FleetFrames = fleet_messages.FrameDecoder
fleet_item_bytes = fleet_plan.encode_item
fleet_item_from = fleet_plan.decode_item
handover_line = handover_messages.encode_message
HandoverLines = handover_messages.MessageDecoder

# The journal: the record classes in the order of their kinds' numbers, 1 to 3.
JOURNAL_RECORDS: tuple[type, ...] = (
    storage_records.WriteRecord,
    storage_records.CheckpointRecord,
    storage_records.TombstoneRecord,
)
encode_batch: Any = record_format.encode_batch
encode_segment_header = record_format.encode_segment_header
decode_segment_header = record_format.decode_segment_header
read_frame = record_format.read_frame

# Files beside it.
encode_document = storage_documents.encode_document
decode_document = storage_documents.decode_document
snapshot_file_name = storage_snapshots.file_name
snapshot_header = storage_snapshots.encode_header

encode_queue_snapshot: Any = queue_snapshot.encode_snapshot
decode_queue_snapshot: Any = queue_snapshot.decode_snapshot
pack_configuration = feed_documents.pack_document
unpack_configuration = feed_documents.unpack_document
members_from = replication_records.members_from
link_frame = frames.frame

RecordCodec = codec.RecordCodec
CodecError = codec.CodecError

# Numbers that operators read.
OPERATOR_CODES: Any = results.ResultCode
operator_result: Any = results.operator_result
EXIT_CODES: Any = role_process.ExitCode

# The older node: its files.
StewardStore: Any = fleet_store.Store
LogWrite: Any = replication_records.StorageWrite
LogEntry: Any = replication_records.Entry
LogSnapshot: Any = replication_records.Snapshot
LogMembers: Any = replication_records.Members
fleet_record_bytes: Any = fleet_plan.encode_record
fleet_record_from: Any = fleet_plan.decode_record
FleetPlan: Any = fleet_plan.Plan
AuditLine: Any = fleet_audit.AuditEntry
AuditLedger: Any = fleet_audit.AuditLog
NodeFolder: Any = fleet_files.NodeFolder
ManualEjections: Any = ejection_files.EjectionFiles
node_settings_from: Any = node_settings.settings_from
load_node_config: Any = node_config.load
FleetRecord: Any = fleet_plan.Record

# What follows from a seed or a hash.
SCENARIOS: Any = simulation_draw.SCENARIOS
draw_plan: Any = simulation_draw.draw
play_plan: Any = simulation_play.play
play_fleet: Any = fleet_campaign.run_seed
shard_for: Any = sharding.shard_for
home_shard: Any = sharding.home_shard
message_id: Any = sharding.message_id
lease_id: Any = sharding.lease_id
Change: Any = change_requests.ChangeRequest
