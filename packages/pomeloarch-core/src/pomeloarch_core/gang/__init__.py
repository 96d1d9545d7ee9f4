"""Whole gangs under guarantees: fleet, queue, placement and preemption."""
