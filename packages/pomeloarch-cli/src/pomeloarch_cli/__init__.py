"""`pomelo`: what operators and callers type."""
