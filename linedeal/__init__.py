"""linedeal, a cluster scheduler that places long-running jobs on a cluster's hosts."""
