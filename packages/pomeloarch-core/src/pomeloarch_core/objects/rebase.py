"""Rebases an operator's edits onto a newer generation than their base.

Optimistic concurrency control (Kung and Robinson, 1981) for each object: edits
of different objects are all kept, different edits of the same one conflict.
"""

from __future__ import annotations

from result import Err, Ok, Result

from pomeloarch_core.objects.delta import apply_change, difference
from pomeloarch_core.objects.keys import ObjectKey, by_key
from pomeloarch_core.objects.model import ObjectSet


def rebase(
    base: ObjectSet, wanted: ObjectSet, head: ObjectSet
) -> Result[ObjectSet, frozenset[ObjectKey]]:
    """Applies the edits between `base` and `wanted` to `head`.

    Args:
      base: the set that the operator started from.
      wanted: the set after the operator's edits.
      head: the set after the edits that others published meanwhile.

    Returns:
      The set with the edits of both, or the keys of the objects that both
      changed in different ways.
    """
    edits = difference(base, wanted)
    others = difference(base, head)
    ours, theirs = by_key(wanted), by_key(head)
    conflicts = frozenset(
        key
        for key in edits.keys() & others.keys()
        if ours.get(key) != theirs.get(key)
    )
    return Err(conflicts) if conflicts else Ok(apply_change(head, edits))
