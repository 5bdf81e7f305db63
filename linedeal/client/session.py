"""A job that its client does not let go of: asked for under one key until its answer is here.

The client's rules, the only place that has them (docs/recovery.md): while the controller is away or the link breaks,
ask the same controller again under the same key, which joins what it had taken. It never goes elsewhere by itself.
"""

import anyio

from linedeal.client.client import Answered, Client, ClientLost, JobAsk, TurnedAway
from linedeal.net import Address, Net

AGAIN = 0.2     # seconds between two tries to reach the controller


async def submit_in_session(net: Net, address: Address, session: str, key: str, ask: JobAsk,
                            within: float) -> Answered:
    """The job's one answer, over broken links and the controller's death.

    Raises TurnedAway where the controller says that trying again will not help, and TimeoutError after `within`
    seconds: then the job may have been taken, and the same call, later or from another process, joins it.
    """
    with anyio.fail_after(within):
        while True:
            answer, pause = await one_try(net, address, session, key, ask)
            if answer is not None:
                return answer
            await anyio.sleep(pause)


async def one_try(net, address, session, key, ask) -> tuple[Answered | None, float]:
    """The answer, or the seconds after which to ask again."""
    # errors are taken inside the client's block: its task group would wrap them on the way out
    try:
        async with Client.connect(net, address, session, session=session) as client:
            try:
                return await client.submit(ask, key), 0.0
            except ClientLost:
                return None, AGAIN
            except TurnedAway as error:
                turned = error
    except ClientLost:
        return None, AGAIN      # it is away
    if turned.retry_after:
        return None, turned.retry_after
    raise turned
