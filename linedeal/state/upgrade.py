"""Upgrades a store from an earlier format. Each step is one transaction, format number included."""

FORMAT = 2  # the format that this version writes

# Statements by the format that they upgrade from. Format 1 has a session's jobs and their answers; format 2
# adds the work, the progress after the answer, and holds.
STEPS = {
    1: (
        "ALTER TABLE jobs ADD COLUMN work BLOB NOT NULL DEFAULT x''",
        "ALTER TABLE jobs ADD COLUMN follow INTEGER NOT NULL DEFAULT 0",
        "ALTER TABLE jobs ADD COLUMN held INTEGER NOT NULL DEFAULT 0",
        "ALTER TABLE jobs ADD COLUMN starts REAL",
        "ALTER TABLE jobs ADD COLUMN taken REAL NOT NULL DEFAULT 0",
        "ALTER TABLE jobs ADD COLUMN stage TEXT",
        "ALTER TABLE jobs ADD COLUMN life INTEGER",
        "ALTER TABLE jobs ADD COLUMN number INTEGER",
        "ALTER TABLE jobs ADD COLUMN reason TEXT NOT NULL DEFAULT ''",
        "ALTER TABLE jobs ADD COLUMN ran BLOB",
        "ALTER TABLE jobs ADD COLUMN ended REAL",
        "ALTER TABLE jobs ADD COLUMN ending INTEGER NOT NULL DEFAULT 0",
        "UPDATE jobs SET stage = CASE verdict WHEN 'placed' THEN 'PLACED' WHEN 'rejected' THEN 'REJECTED' "
        "WHEN 'written off' THEN 'WRITTEN_OFF' END, taken = expires",
    ),
}


def upgrade(db, found: int, put) -> None:
    """Upgrades the open database `db` from format `found` to `FORMAT`; `put(number)` writes the format.

    Raises sqlite3.Error; the format of the last completed step stays.
    """
    for number in range(found, FORMAT):
        db.execute("BEGIN IMMEDIATE")
        has_jobs = db.execute("SELECT 1 FROM sqlite_master WHERE name = 'jobs'").fetchone()
        for statement in STEPS[number] if has_jobs else ():
            db.execute(statement)
        put(number + 1)
        db.execute("COMMIT")
