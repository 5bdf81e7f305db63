"""A part of a day's load, run as a separate process.

Takes changes of the load as orders on standard input and writes its tally to a file at the end.
"""

import json
from pathlib import Path

import anyio

from linedeal.lab.day import read_day
from linedeal.lab.load import LoadGenerator, Tally
from linedeal.net import Address, Net, parse_address


class LoadPart:
    """Runs one part of the load from the order `begin` on; writes `record` once all jobs have ended."""

    def __init__(self, day: Path, addresses: Path, part: int, parts: int, record: Path, net: Net):
        """`addresses`: JSON file with the addresses of controllers by name. Raises DayFileError, OSError."""
        controllers = {
            name: parse_address(address) for name, address in json.loads(addresses.read_text()).items()
        }
        self.tally, self.record = Tally(), record
        self.load = LoadGenerator(read_day(day), net, controllers, self.tally, part, parts)
        self.started = anyio.Event()

    async def run(self, listen: Address, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Runs until it is cancelled. It does not listen, and reports port 0 as its address."""
        task_status.started((listen[0], 0))
        await self.started.wait()
        await self.load.run()
        totals = {
            "asked": self.tally.asked,
            "ends": self.tally.ends,
            "delays": {name: histogram.encode().decode() for name, histogram in self.tally.delays.items()},
        }
        temporary = self.record.with_name(self.record.name + ".new")
        temporary.write_text(json.dumps(totals))
        temporary.replace(self.record)
        await anyio.sleep_forever()  # the rig ends this process

    def control(self, order: dict) -> None:
        """Carries out a JSON order. Raises ValueError for an unknown one."""
        for name, value in order.items():
            if name == "begin":
                self.started.set()
            elif name == "factor":
                self.load.factor = float(value)
            elif name in ("heavy", "favour", "hot"):
                setattr(self.load, name, {key: float(number) for key, number in value.items()})
            else:
                raise ValueError(f"no order {name!r}")
