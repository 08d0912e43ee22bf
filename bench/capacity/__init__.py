"""Growth of each role's state, messages, processor time and memory, measured on this machine."""
