"""The report of a soak: its plan, what happened, and the violations of each guarantee."""

from __future__ import annotations

from collections import Counter

from faults.cluster import Cluster
from faults.context import SoakContext
from faults.injector import RANDOMLY_FAILING_CALLS, FaultInjector

MAX_PRINTED_VIOLATIONS = 40


def format_report(context: SoakContext, cluster: Cluster, injector: FaultInjector) -> str:
    """Return the report as lines of text."""
    injected = sorted((fault.value, count) for fault, count in injector.injected.items())
    lines = [
        f"seed {context.plan.seed}: {len(cluster.sidecars)} sidecars,"
        f" {sum(sidecar.starts for sidecar in cluster.sidecars)} starts; {context.plan.describe()}",
        _discovery_line(context),
        "faults: " + ", ".join(f"{name} {count}" for name, count in injected),
        "observed: " + ", ".join(f"{name} {count}" for name, count in sorted(context.oracle.counts.items())),
        "failed system calls: " + ", ".join(_failed_system_calls(cluster)),
    ]
    return "\n".join([*lines, *_violation_lines(context)])


def _discovery_line(context: SoakContext) -> str:
    discovery, shutdowns = context.discovery, context.shutdowns
    return (
        f"discovery: {discovery.generation} generations, {discovery.calls} calls,"
        f" {discovery.rejected} rejected; {shutdowns.count} exits after SIGTERM,"
        f" at least {shutdowns.min_margin_s:.3f} s before SIGKILL;"
        f" event loop lag up to {context.oracle.max_lag_s * 1000:.0f} ms"
    )


def _failed_system_calls(cluster: Cluster) -> list[str]:
    return [
        f"{call.name.lower()} {sum(sidecar.control.fault_count(call) for sidecar in cluster.sidecars)}"
        for call in RANDOMLY_FAILING_CALLS
    ]


def _violation_lines(context: SoakContext) -> list[str]:
    violations = context.oracle.violations
    by_guarantee = Counter(violation.guarantee for violation in violations)
    lines = [f"violated {count} times: {guarantee.value}" for guarantee, count in by_guarantee.items()]
    shown = violations[:MAX_PRINTED_VIOLATIONS]
    return [*lines, *(f"  {v.at_s:.3f} {v.guarantee.name}: {v.detail}" for v in shown)]
