"""Tests of the short form of a job's results."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomeloarch_core.batch.rows import CompactSteps, StepRow

NO_LIMIT = 1_000_000
INDICES = st.integers(0, 300)
RUNS = st.sampled_from([4097, 4098, 8193])


@st.composite
def results(draw):
    """Draws results that hold something, by `OCCURRENCE.STEP`."""
    found = {}
    for occurrence, step in draw(
        st.sets(st.tuples(st.integers(0, 40), st.integers(0, 3)), max_size=12)
    ):
        row = StepRow()
        row.mark_done(draw(st.lists(INDICES, min_size=1)))
        row.failures = {
            str(index): sorted(runs)
            for index, runs in draw(
                st.dictionaries(INDICES, st.sets(RUNS, min_size=1), max_size=5)
            ).items()
        }
        row.checkpoints = draw(
            st.dictionaries(INDICES.map(str), st.text(max_size=4), max_size=5)
        )
        found[f"{occurrence}.{step}"] = row
    return found


@given(results())
def test_results_are_the_same_after_they_were_compacted(steps):
    """Guards ends and failed runs that a successor reads."""
    assert CompactSteps.from_steps(steps, NO_LIMIT).to_steps() == steps


@pytest.mark.parametrize(
    ("max_bytes", "kept"),
    [(0, []), (4, []), (5, ["1"]), (9, ["1"]), (10, ["1", "7"])],
)
def test_checkpoints_are_kept_up_to_a_size(max_bytes, kept):
    steps = {"0.0": StepRow("1", {}, {"1": "aaaa", "2": "b" * 90, "7": "cccc"})}
    found = CompactSteps.from_steps(steps, max_bytes).to_steps()["0.0"]
    assert list(found.checkpoints) == kept
    assert found.done == "1"
