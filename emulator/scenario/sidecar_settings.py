"""The settings of an emulated sidecar, with the keys of the protocol."""

from __future__ import annotations

from typing import Any

from emulator.scenario.plan import SidecarPlacement

CLASSES = (
    ("read", 1_000_000, "idempotent"),
    ("hold", 1_000_000, "deduplicated"),
    ("pay", 2_000_000, "at_most_once"),
)  # name, latency objective in microseconds, idempotency
REVISION_STEP_US = 1000  # that the latency objectives grow by with each revision


def settings_document(
    sidecar: SidecarPlacement, balancers: int, depth: int, mode: str, revision: int = 0
) -> dict[str, Any]:
    """Return the settings object of one sidecar.

    Args:
        sidecar: whose settings they are.
        balancers: the sidecars of its service.
        depth: the layers that services are spread over.
        mode: of discovery, `push` or `ask`.
        revision: the number of the settings; each changes a value.
    """
    return {
        "Categories": [
            {
                "Name": name,
                "AimUs": objective_us + REVISION_STEP_US * revision,
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
        "Balancers": balancers,
        "Layer": sidecar.layer,
        "Tiers": [f"t{i}" for i in range(depth)],
    }
