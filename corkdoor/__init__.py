"""corkdoor: load-balancing decisions for services that call services."""

from corkdoor.balancer import Balancer
from corkdoor.interface import Actions, Events
from corkdoor.load_report import LoadReport
from corkdoor.model import (
    DeduplicationScope,
    DiscoveryMode,
    Endpoint,
    Idempotency,
    Outcome,
    Readiness,
    Timer,
    WatchEventKind,
)
from corkdoor.settings import Costs, LifecycleRules, Limits, Objective, RequestClass, Settings, Tenant

__all__ = [
    "Actions",
    "Balancer",
    "Costs",
    "DeduplicationScope",
    "DiscoveryMode",
    "Endpoint",
    "Events",
    "Idempotency",
    "LifecycleRules",
    "Limits",
    "LoadReport",
    "Objective",
    "Outcome",
    "Readiness",
    "RequestClass",
    "Settings",
    "Tenant",
    "Timer",
    "WatchEventKind",
]
