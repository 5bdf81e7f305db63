"""The council: a small replicated key-value store kept by a few controllers, one consensus register per key.

The package does no I/O and reads no clock. `records` defines the data that is stored and the packets, `slots`
holds the acceptor's rules and the register's state transition, `rounds` is the proposer's side of one
request, `reconfiguration` replaces members, `staleness` detects a replica that was restored from an older
copy of its directory, and `member` combines them. docs/council.md compares the alternatives and lists how
each property is verified.
"""
