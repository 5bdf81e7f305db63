"""Opens connections to one host, and takes what a failed attempt shows of it."""

import anyio

from linedeal.net import Net, Stream, connect_within, parse_address
from linedeal.net.base import CONNECTION_ERRORS, describe_error, is_local_shortage
from linedeal.platform.host_state import HostState

RETRY_DELAY = 0.2  # seconds between attempts to connect to a host that runs jobs


class ConnectFailedError(Exception):
    """No connection could be opened; the message has the reason."""

    def __init__(self, reason: str, began_at: float | None = None, refused: bool = False):
        """`began_at`: when the attempt began; None if none was made, or it failed for want of something here.

        `refused`: by the host's system.
        """
        super().__init__(reason)
        self.began_at, self.refused = began_at, refused


class HostConnector:
    """Opens streams to one host, each with a descriptor of the budget."""

    def __init__(self, host: HostState, net: Net):
        """`net`: the network on which the host is reached."""
        self.host, self.net = host, net

    async def connect(self) -> Stream:
        """Opens a stream to the host, whose descriptor is counted. Raises ConnectFailedError.

        May wait for a descriptor, and then connect, for the connect timeout each.
        """
        host, stream = self.host, None
        if not await host.descriptors.reserve_for_host(host.limits.connect):
            raise ConnectFailedError("no descriptor is free for it")
        began_at = anyio.current_time()
        host.reachability.on_request(began_at)
        try:
            timeout = host.reachability.attempt_timeout(began_at, host.limits.connect)
            stream = await connect_within(self.net, parse_address(host.listed.addresses[0]), timeout)
        except TimeoutError:
            raise ConnectFailedError("it does not answer", began_at) from None
        except ValueError as error:
            raise ConnectFailedError(str(error), began_at) from None
        except CONNECTION_ERRORS as error:
            if is_local_shortage(error):
                host.reachability.on_request_failed_here(began_at)
                raise ConnectFailedError(describe_error(error)) from None
            refused = isinstance(error.__cause__ or error, ConnectionRefusedError)
            raise ConnectFailedError(describe_error(error), began_at, refused) from None
        finally:
            if stream is None:
                host.descriptors.remove(hosts=1)
        host.reachability.on_connected(anyio.current_time())
        return stream

    def note_failure(self, failure: ConnectFailedError) -> None:
        """Notes what a failed attempt shows, and when to try again."""
        reachability = self.host.reachability
        if failure.began_at is not None:
            reachability.on_attempt_failed(failure.refused)
        now, timeout = anyio.current_time(), self.host.limits.connect
        self.host.retry_at = reachability.next_attempt_at(now, RETRY_DELAY, timeout)

    def shows_loss(self, failure: ConnectFailedError) -> bool:
        """Whether a failed attempt shows that the jobs that ran at the host are lost."""
        began_at = failure.began_at
        return self.host.runs_jobs and began_at is not None and self.host.reachability.is_lost(began_at)
