"""Ownership of jobs by sessions. Does no I/O."""


def qualified(customer: str, session: str) -> str:
    """The name under which a session's jobs are stored, empty without a session.

    It contains the authenticated customer, so that only links of the same customer can access the jobs.

    >>> qualified("school", "s1"), qualified("", "school/s1"), qualified("", "")
    ('school/s1', '/school/s1', '')
    """
    return f"{customer}/{session}" if session else ""
