"""Orders of a duty's owner to hosts and to the operators' tool: one link an order, each bounded."""

import itertools

import anyio

from linedeal.duties.campaign_runner import OrderKind, Order, OrderReply
from linedeal.net import Address, LinkLostError, Net, open_link
from linedeal.protocol import VERSION, FrameReader, encode, pb
from linedeal.settings.records import CouncilSettings

KINDS = {OrderKind.DRAIN: pb.HOST_DRAIN, OrderKind.REPLACE: pb.HOST_REPLACE}
MOST_WHY = 200  # characters of a refusal that are kept


class Orderer:
    """`name` is who owns the duty, for the other side's log; its token says what counts."""

    def __init__(self, settings: CouncilSettings, name: str, token: str, net: Net):
        self.net = net
        self.hello = encode(
            pb.Hello(version=VERSION, role=pb.OWNER, name=name, session=settings.id, token=token)
        )
        self.numbers = itertools.count(1)

    async def send(
        self, address: Address, order: Order, duty: str, token: int, within: float
    ) -> OrderReply | None:
        """None: no answer came in time; it may have been carried out, and may be still. Raises LinkLostError where the other
        side refuses to listen."""
        number = next(self.numbers)
        said = pb.DutyOrder(
            number=number,
            duty=duty,
            token=token,
            campaign=order.campaign,
            kind=KINDS[order.kind],
            host=order.host,
            boot=order.boot,
        )
        with anyio.move_on_after(within):
            link, welcome = await open_link(self.net, address, FrameReader(), self.hello, within)
            try:
                if isinstance(welcome, pb.Bye):
                    raise LinkLostError(f"refuses to listen: {welcome.reason[:MOST_WHY]}")
                await link.send(encode(said), within)
                while True:
                    told = await link.receive()
                    if isinstance(told, pb.DutyTold) and told.number == number:
                        return OrderReply(
                            told.done,
                            told.boot,
                            told.draining,
                            told.jobs,
                            told.irreversible,
                            told.why[:MOST_WHY],
                        )
            finally:
                await link.close()
        return None
