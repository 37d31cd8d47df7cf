"""Routing, order of service, limits, retries and admission of calls."""

from balsamloom_policy.calls import (
    Assignment,
    CallProfile,
    LoadReport,
    Observation,
    Refusal,
    Server,
    ServerShare,
    WaitStatus,
)
from balsamloom_policy.scheduler import Scheduler
from balsamloom_policy.settings import PolicySettings
from balsamloom_policy.tickets import Ticket

__all__ = [
    "Assignment",
    "CallProfile",
    "LoadReport",
    "Observation",
    "PolicySettings",
    "Refusal",
    "Scheduler",
    "Server",
    "ServerShare",
    "Ticket",
    "WaitStatus",
]
