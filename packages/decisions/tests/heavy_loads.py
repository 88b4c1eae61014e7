"""The profile and the load that tests and the ablation share."""

from dataclasses import replace

from fleet_simulation import Load

from persimmonusher_model.profile import Profile

PROFILE = Profile(
    suspect_ms=4_000,
    health_floor_percent=44,
    retry_budget_percent=18,
    retry_slack=64,
    fewest_in_progress=4,
    queue_limit=256,
    queue_wait_ms=3_000,
    far_load_percent=80,
)
LOOKUPS_AND_PURCHASES = Load(
    domains=3,
    servers=33,
    slots=6,
    requests_a_second=200.0,
    work_seconds=0.35,
    work_spread=0.4,
    idempotent_share=1 / 3,
    ill_share=0.9,
    seconds=20.0,
)
"""Two purchases for each lookup at two fifths of the slots; a third of the servers ill."""
HANGING_PROFILE = PROFILE.model_copy(
    update={
        "health_floor_percent": 56,
        "fewest_suspects": 7,
        "hedge_slow": True,
        "retry_slack": 174.0,
    }
)
HANGING_ENTRIES = Load(
    instances=100,
    servers=29,
    slots=6,
    requests_a_second=70.0,
    work_seconds=0.4,
    work_spread=0.65,
    timeout_seconds=2.5,
    target_seconds=1.55,
    ill_seconds=9.0,
    ill_chance=0.3,
    hangs=True,
    seconds=25.0,
)
"""Entries on a hundred instances, a quarter of the slots; ill servers swallow their work."""
HANGING_LOOKUPS = replace(
    HANGING_ENTRIES,
    servers=72,
    requests_a_second=110.0,
    work_seconds=0.6,
    work_spread=0.3,
    idempotent_share=1.0,
    timeout_seconds=2.0,
    target_seconds=1.54,
)
"""Lookups of which a copy sent after the usual time still comes in time."""
HANGING_BURSTS = replace(
    HANGING_LOOKUPS,
    servers=55,
    requests_a_second=250.0,
    burst_factor=1.6,
    burst_seconds=2.5,
)
"""Bursts beyond the slots of the servers that are well."""
