"""linedeal: places long-running jobs on a cluster's hosts."""
