"""Wall-clock cost of a request through real processes, as ratios within one run."""
