"""A controller on the platform's protocol instead of linedeal's own, as docs/platform.md specifies it."""
