"""Tests of the comparison of two versions by pairs of plays."""

import math

import pytest

from pomeloarch_standins.paired_plays import PairedComparison, read_worth


@pytest.mark.parametrize(
    ("pairs", "difference", "error"),
    [
        ([(0.5, 0.6)], 0.1, math.inf),
        ([(0.5, 0.6), (0.3, 0.4)], 0.1, 0.0),
        ([(0.5, 0.6), (0.6, 0.5)], 0.0, 0.1),
        ([(0.2, 0.2), (0.2, 0.5)], 0.15, 0.15),
    ],
)
def test_error_is_that_of_the_differences_and_not_of_the_plays(
    pairs, difference, error
):
    """Guards against differences that drown in what days differ by."""
    found = PairedComparison.from_pairs(pairs)
    assert found.difference == pytest.approx(difference)
    assert found.standard_error == pytest.approx(error)
    assert found.after - found.before == pytest.approx(difference)
    assert f"{len(pairs)} pairs" in str(found)


def test_no_plays_are_no_comparison():
    with pytest.raises(ValueError, match="no pair"):
        PairedComparison.from_pairs([])


@pytest.mark.parametrize(
    ("report", "message"),
    [
        (b"{}", "not the report of a play.*G"),
        (b"no JSON", "not the report of a play"),
        (b'{"G": 0.1, "fault": "took too long"}', "took too long"),
    ],
)
def test_play_without_worth_is_not_compared(report, message):
    with pytest.raises(ValueError, match=message):
        read_worth(report)


def test_worth_is_read_from_a_report():
    assert read_worth(b'{"G": 0.52, "fault": null, "parts": []}') == 0.52
