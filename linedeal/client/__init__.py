"""The client's side of the front: submit a job, wait for its one answer."""

from linedeal.client.client import Answered, Client, ClientLost, JobAsk, TurnedAway
from linedeal.client.owner import Owner

__all__ = ["Answered", "Client", "ClientLost", "JobAsk", "TurnedAway", "Owner"]
