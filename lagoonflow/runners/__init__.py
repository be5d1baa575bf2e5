"""Agent side of a runner: memory, replicas, loads and run queue."""
