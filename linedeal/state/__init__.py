"""What a controller keeps on disk from one life to the next."""

from linedeal.state.store import Store, StoreError, open_database

__all__ = ["Store", "StoreError", "open_database"]
