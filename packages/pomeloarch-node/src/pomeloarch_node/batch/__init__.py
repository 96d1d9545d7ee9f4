"""Batch jobs on a node: intake, mirrors of tables, and the leading scheduler.

Every node takes jobs in and answers for their state from a mirror of the
table. One node at a time holds the scheduler's role and gives orders to the
workers. May import the core and the node's other parts; knows no wire.
"""

from pomeloarch_node.batch.decision_log import DecisionLog
from pomeloarch_node.batch.intake import Intake
from pomeloarch_node.batch.leader import ExternalServices, Leader, LeaderTimes
from pomeloarch_node.batch.mirror import TableMirror
from pomeloarch_node.batch.ports import (
    FeedStore,
    HistoryGone,
    TableChanges,
    WorkerLink,
)
from pomeloarch_node.batch.upkeep_task import WaveSource

__all__ = [
    "DecisionLog",
    "ExternalServices",
    "FeedStore",
    "HistoryGone",
    "Intake",
    "Leader",
    "LeaderTimes",
    "TableChanges",
    "TableMirror",
    "WaveSource",
    "WorkerLink",
]
