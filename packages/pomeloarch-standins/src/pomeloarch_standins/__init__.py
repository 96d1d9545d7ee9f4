"""Test doubles of platform, workers and executors; demo and measurements."""
