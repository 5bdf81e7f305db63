"""Sends a duty owner's orders to hosts and to the operators' tool: one link per order, with a time limit."""

import itertools

import anyio

from linedeal.duties.campaign_runner import Order, OrderKind, OrderReply
from linedeal.net import Address, LinkLostError, Net, open_link
from linedeal.protocol import VERSION, FrameReader, encode, pb
from linedeal.settings.records import CouncilSettings

MESSAGE_KINDS = {OrderKind.DRAIN: pb.HOST_DRAIN, OrderKind.REPLACE: pb.HOST_REPLACE}
MAX_REASON_LENGTH = 200  # characters of a refusal's reason; the rest is cut off


class OrderSender:
    """Sends the orders of one controller.

    `name` is the owner's, for the receiver's log; the receiver accepts an order by its fencing token.
    """

    def __init__(self, settings: CouncilSettings, name: str, token: str, net: Net):
        """`token` authenticates the controller; it is not the fencing token."""
        self.net = net
        self.hello = encode(
            pb.Hello(version=VERSION, role=pb.OWNER, name=name, session=settings.id, token=token)
        )
        self.order_numbers = itertools.count(1)

    async def send(
        self, address: Address, order: Order, duty: str, token: int, timeout: float
    ) -> OrderReply | None:
        """Sends an order with its fencing token, and returns the reply.

        None means that no reply arrived within `timeout` seconds: the order may have been carried out, or may
        still be. Raises LinkLostError if the link is lost or the receiver refuses it.
        """
        number = next(self.order_numbers)
        message = pb.DutyOrder(
            number=number,
            duty=duty,
            token=token,
            campaign=order.campaign,
            kind=MESSAGE_KINDS[order.kind],
            host=order.host,
            boot=order.boot,
        )
        with anyio.move_on_after(timeout):
            link, welcome = await open_link(self.net, address, FrameReader(), self.hello, timeout)
            try:
                if isinstance(welcome, pb.Bye):
                    raise LinkLostError(f"refuses the link: {welcome.reason[:MAX_REASON_LENGTH]}")
                await link.send(encode(message), timeout)
                while True:
                    reply = await link.receive()
                    if isinstance(reply, pb.DutyTold) and reply.number == number:
                        return OrderReply(
                            reply.done,
                            reply.boot,
                            reply.draining,
                            reply.jobs,
                            reply.irreversible,
                            reply.why[:MAX_REASON_LENGTH],
                        )
            finally:
                await link.close()
        return None
