"""Wall-clock cost of a request through separate processes, compared within one run."""
