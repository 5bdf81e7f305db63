"""The laboratory: days that are played against the real controller, in processes or in memory, and recorded."""
