"""The client library: submit jobs and wait for their answers, or follow the jobs of a session."""

from linedeal.client.client import Client, ConnectionLostError, JobAnswer, JobDeclinedError, JobRequest
from linedeal.client.owner import Owner

__all__ = ["JobAnswer", "Client", "ConnectionLostError", "JobRequest", "JobDeclinedError", "Owner"]
