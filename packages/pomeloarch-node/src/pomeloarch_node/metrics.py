"""Counters, gauges and duration histograms, rendered as Prometheus text."""

from __future__ import annotations

from collections import defaultdict

from hdrh.histogram import HdrHistogram

Labels = tuple[tuple[str, str], ...]

_MIN_RECORDED_US = 1
_MAX_RECORDED_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)
_US_PER_S = 1_000_000


class Metrics:
    """The metrics of a node, shared by all of its components.

    >>> metrics = Metrics()
    >>> metrics.count("requests", service="scorer")
    >>> print(metrics.render(), end="")
    requests{service="scorer"} 1
    """

    def __init__(self) -> None:
        """Creates an empty set of metrics."""
        self._counters: dict[tuple[str, Labels], int] = defaultdict(int)
        self._gauges: dict[tuple[str, Labels], float] = {}
        self._histograms: dict[tuple[str, Labels], HdrHistogram] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increments a counter."""
        self._counters[name, _sort_labels(labels)] += amount

    def set(self, name: str, value: float, **labels: str) -> None:
        """Sets a gauge."""
        self._gauges[name, _sort_labels(labels)] = value

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Records a duration, in seconds, in a histogram."""
        key = name, _sort_labels(labels)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(
                _MIN_RECORDED_US, _MAX_RECORDED_US, _SIGNIFICANT_DIGITS
            )
            self._histograms[key] = histogram
        histogram.record_value(max(_MIN_RECORDED_US, int(seconds * _US_PER_S)))

    def render(self) -> str:
        """Returns all metrics as Prometheus text."""
        lines = [
            _render_line(name, labels, value)
            for (name, labels), value in [
                *self._counters.items(),
                *self._gauges.items(),
            ]
        ]
        for (name, labels), histogram in self._histograms.items():
            lines += _render_summary(name, labels, histogram)
        return "".join(f"{line}\n" for line in sorted(lines))


def _sort_labels(labels: dict[str, str]) -> Labels:
    return tuple(sorted(labels.items()))


def _render_line(name: str, labels: Labels, value: float) -> str:
    if not labels:
        return f"{name} {value:g}"
    inner = ",".join(f'{key}="{_escape(text)}"' for key, text in labels)
    return f"{name}{{{inner}}} {value:g}"


def _escape(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", " ")


def _render_summary(
    name: str, labels: Labels, histogram: HdrHistogram
) -> list[str]:
    lines = [_render_line(f"{name}_count", labels, histogram.get_total_count())]
    for percentile in _PERCENTILES:
        quantile = ("quantile", f"{percentile / 100:g}")
        value = histogram.get_value_at_percentile(percentile) / _US_PER_S
        lines.append(
            _render_line(f"{name}_seconds", (*labels, quantile), value)
        )
    return lines
