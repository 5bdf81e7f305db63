"""The running controller: thin anyio tasks between sockets and the engine."""
