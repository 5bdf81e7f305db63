"""The running controller: anyio tasks that connect sockets with the engine."""
