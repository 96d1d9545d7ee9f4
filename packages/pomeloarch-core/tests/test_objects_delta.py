from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from pomeloarch_core.ids import Generation, PublicationId
from pomeloarch_core.objects import (
    BaseMismatch,
    ObjectSet,
    Organisation,
    Snapshot,
    apply_delta,
    by_key,
    difference,
    make_delta,
    rebase,
)

OBJECT_SETS = st.dictionaries(
    st.sampled_from("abcd"), st.sampled_from([1.0, 2.0, 3.0])
).map(
    lambda weights: ObjectSet(
        organisation=tuple(
            Organisation(name, weight)
            for name, weight in sorted(weights.items())
        )
    )
)


def snapshot(number, objects):
    name = PublicationId(f"p{number}")
    return Snapshot(Generation(number), name, objects)


@given(OBJECT_SETS, OBJECT_SETS)
def test_a_delta_turns_its_base_into_the_newer_snapshot(old, new):
    before, after = snapshot(3, old), snapshot(4, new)
    assert apply_delta(before, make_delta(before, after)) == Ok(after)


def test_a_delta_is_refused_on_another_base():
    objects = ObjectSet()
    delta = make_delta(snapshot(3, objects), snapshot(4, objects))
    mismatch = BaseMismatch(Generation(3), Generation(2))
    assert apply_delta(snapshot(2, objects), delta) == Err(mismatch)


@given(OBJECT_SETS, OBJECT_SETS, OBJECT_SETS)
def test_rebase_agrees_with_a_merge_of_each_object(base, ours, theirs):
    """Compares `rebase` with a three-way merge of each object on its own."""
    old, mine, other = by_key(base), by_key(ours), by_key(theirs)
    merged, conflicts = {}, set()
    for key in old.keys() | mine.keys() | other.keys():
        versions = old.get(key), mine.get(key), other.get(key)
        if versions[1] == versions[0]:
            merged[key] = versions[2]
        elif versions[2] in (versions[0], versions[1]):
            merged[key] = versions[1]
        else:
            conflicts.add(key)
    found = rebase(base, ours, theirs)
    if conflicts:
        assert found == Err(frozenset(conflicts))
    else:
        kept = {key: item for key, item in merged.items() if item is not None}
        assert by_key(found.unwrap()) == kept


@given(OBJECT_SETS)
def test_a_set_does_not_differ_from_itself(objects):
    assert difference(objects, objects).keys() == frozenset()
