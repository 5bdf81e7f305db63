"""What a controller stores on disk between restarts: its identity, the host list and the job journal."""

from linedeal.state.store import Store, StoreError, open_database

__all__ = ["Store", "StoreError", "open_database"]
