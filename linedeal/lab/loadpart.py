"""A share of a day's owners in a process of its own: open loop, told of bursts as orders, its tally in a file at the end."""

import json
from pathlib import Path

import anyio

from linedeal.lab.day import read_day
from linedeal.lab.load import LoadGenerator, Tally
from linedeal.net import Address, Net, parse_address


class LoadPart:
    """It begins at the order `begin`; the file `record` stands once all is answered."""

    def __init__(self, day: Path, addresses: Path, part: int, parts: int, record: Path, net: Net):
        places = {name: parse_address(place) for name, place in json.loads(addresses.read_text()).items()}
        self.tally, self.record = Tally(), record
        self.owners = LoadGenerator(read_day(day), net, places, self.tally, part, parts)
        self.begun = anyio.Event()

    async def run(self, listen: Address, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        task_status.started((listen[0], 0))
        await self.begun.wait()
        await self.owners.run()
        told = {
            "asked": self.tally.asked,
            "ends": self.tally.ends,
            "delays": {name: found.encode().decode() for name, found in self.tally.delays.items()},
        }
        beside = self.record.with_name(self.record.name + ".new")
        beside.write_text(json.dumps(told))
        beside.replace(self.record)
        await anyio.sleep_forever()  # until whoever started it ends it

    def control(self, order: dict) -> None:
        for name, value in order.items():
            if name == "begin":
                self.begun.set()
            elif name == "factor":
                self.owners.factor = float(value)
            elif name in ("heavy", "favour", "hot"):
                setattr(self.owners, name, {who: float(figure) for who, figure in value.items()})
            else:
                raise ValueError(f"no order {name!r}")
