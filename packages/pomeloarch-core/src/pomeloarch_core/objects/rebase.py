"""Moves an operator's edits onto a newer generation than they started from.

Optimistic concurrency control (Kung and Robinson, 1981) by object: edits of
different objects are all kept, edits of the same one are a conflict.
"""

from __future__ import annotations

from result import Err, Ok, Result

from pomeloarch_core.objects.delta import apply_change, difference
from pomeloarch_core.objects.keys import ObjectKey, by_key
from pomeloarch_core.objects.model import ObjectSet


def rebase(
    base: ObjectSet, wanted: ObjectSet, head: ObjectSet
) -> Result[ObjectSet, frozenset[ObjectKey]]:
    """Makes the edits from `base` to `wanted` on `head`.

    Args:
      base: what the operator started from.
      wanted: what the operator made of it.
      head: what others have made of it meanwhile.

    Returns:
      The set with the edits of both, or the objects that both changed in
      different ways.
    """
    edits = difference(base, wanted)
    others = difference(base, head)
    ours, theirs = by_key(wanted), by_key(head)
    both = frozenset(
        key
        for key in edits.keys() & others.keys()
        if ours.get(key) != theirs.get(key)
    )
    return Err(both) if both else Ok(apply_change(head, edits))
