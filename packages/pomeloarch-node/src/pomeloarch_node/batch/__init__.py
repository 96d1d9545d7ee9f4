"""Batch jobs on a node: intake, mirrors of tables, and the leading scheduler.

Every node accepts jobs and reports their state from a mirror of the jobs'
table. One node at a time holds the scheduler's role and gives orders to the
workers. This package may import the core and the node's other modules, and is
independent of any wire format.
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
