"""The client's side of the front: submit a job, wait for its one answer."""

from linedeal.client.client import Answered, Client, ClientLost, JobAsk, TurnedAway

__all__ = ["Answered", "Client", "ClientLost", "JobAsk", "TurnedAway"]
