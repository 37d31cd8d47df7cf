"""Routing, order of service, limits, retries and admission."""

from balsamloom_policy.calls import (
    Assigned,
    CallProfile,
    LoadReport,
    Observation,
    Refused,
    Server,
    Share,
    Waiting,
)
from balsamloom_policy.scheduler import Scheduler
from balsamloom_policy.settings import PolicySettings
from balsamloom_policy.tickets import Ticket

__all__ = [
    "Assigned",
    "CallProfile",
    "LoadReport",
    "Observation",
    "PolicySettings",
    "Refused",
    "Scheduler",
    "Server",
    "Share",
    "Ticket",
    "Waiting",
]
