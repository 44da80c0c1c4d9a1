"""The settings document of an emulated sidecar, with the keys of the protocol."""

from __future__ import annotations

from typing import Any

from emulator.scenario.plan import SidecarPlacement

# Request classes: name, latency objective in microseconds, idempotency.
CLASSES = (
    ("read", 1_000_000, "idempotent"),
    ("hold", 1_000_000, "deduplicated"),
    ("pay", 2_000_000, "at_most_once"),
)
OBJECTIVE_STEP_US = 1000  # each revision raises the latency objectives by this


def settings_document(
    sidecar: SidecarPlacement, instance_count: int, depth: int, mode: str, revision: int = 0
) -> dict[str, Any]:
    """Return the settings document of one sidecar.

    Args:
        sidecar: the sidecar that gets the settings.
        instance_count: the number of sidecars of its service.
        depth: the number of layers.
        mode: the discovery mode, `push` or `ask`.
        revision: the revision of the settings; each revision changes a value.
    """
    return {
        "Categories": [
            {
                "Name": name,
                "AimUs": objective_us + OBJECTIVE_STEP_US * revision,
                "DeadlineUs": 3_000_000,
                "Effect": effect,
                "Group": "all",
                "DedupWindowUs": 2_000_000,
                "LateShare": 0.5,
            }
            for name, objective_us, effect in CLASSES
        ],
        "Allowed": {"MaxAttempts": 3, "MayCancel": True, "RetryAfter": True, "ConnIdleUs": 5_000_000},
        "Parties": [{"Name": "acme", "Share": 1.0, "QuotaPerS": 1000.0}],
        "Discovery": mode,
        "MyZone": sidecar.zone,
        "Rank": sidecar.rank,
        "Balancers": instance_count,
        "Layer": sidecar.layer,
        "Tiers": [f"t{i}" for i in range(depth)],
    }
