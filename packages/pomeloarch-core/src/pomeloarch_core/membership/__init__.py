"""Nodes acting as one: liveness, role leases and epochs."""
