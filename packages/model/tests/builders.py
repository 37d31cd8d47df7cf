"""Builders of test data for the tests of the model."""

from __future__ import annotations

import pathlib

from balsamloom_model import deployments

DEPLOYMENTS = pathlib.Path(__file__).parent.parent / "deployments"


def deployment(
    name: str = "wasserreigen",
    duration_ms: float = 8_000.0,
    noise_share: float = 0.0,
) -> deployments.Deployment:
    """Load a deployment and make it a short day without bursts."""
    loaded = deployments.load(DEPLOYMENTS / f"{name}.json")
    return loaded._replace(
        duration_ms=duration_ms,
        noise=loaded.noise._replace(share=noise_share),
        bursts=(),
    )


def engine_fleet(**changes: object) -> deployments.EngineFleet:
    """Build engines whose durations are easy to calculate by hand."""
    fleet = deployments.EngineFleet(
        servers=1,
        slots=4,
        queue=2,
        memory_tokens=10_000,
        speeds=(1.0,),
        step_ms=5.0,
        step_ms_per_request=0.0,
        context_ms_per_k=0.0,
        prompt_tokens_per_ms=20.0,
        chunk_tokens=2_000,
        tokens_per_event=3,
    )
    return fleet._replace(**changes)
