"""The council and the duties inside a controller's process.

Links to the other members, the member's database, and what controllers and operators request. This package
imports the state machines of `council` and `duties`; nothing that places jobs imports this package.
"""
