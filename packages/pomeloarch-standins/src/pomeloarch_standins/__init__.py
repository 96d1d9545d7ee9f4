"""Small stand-ins of platform, workers and executors, and the demo driver."""
