"""Requests to executors: choice, limits, fair queue, retries, refusals."""
