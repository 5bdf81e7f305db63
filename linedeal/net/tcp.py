"""Real sockets, loopback or other, over anyio."""

import anyio
import anyio.abc

from linedeal.net.base import Address


class TcpNet:
    async def connect(self, address: Address) -> anyio.abc.SocketStream:
        """A stream to there. Raises OSError."""
        return await anyio.connect_tcp(*address, happy_eyeballs_delay=0.1)

    async def serve(self, address: Address, handle, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Hands each stream that comes in to `handle` in a task of its own; tells the address it listens at."""
        try:
            listener = await anyio.create_tcp_listener(local_host=address[0], local_port=address[1])
        except OSError as error:
            raise OSError(error.errno, error.strerror, f"{address[0]}:{address[1]}") from None
        async with listener:
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            task_status.started((address[0], port))
            await listener.serve(handle)
