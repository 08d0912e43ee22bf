"""Measured growth of each role's state, messages, CPU time and memory with its inputs."""
