"""The client's side of the front: submit a job, wait for its one answer."""

from linedeal.client.client import Answered, Client, ConnectionLostError, JobRequest, JobDeclinedError
from linedeal.client.owner import Owner

__all__ = ["Answered", "Client", "ConnectionLostError", "JobRequest", "JobDeclinedError", "Owner"]
