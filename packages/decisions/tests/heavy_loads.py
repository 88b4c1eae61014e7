"""The profile and the load that several tests and ablation.py use."""

from fleet_simulation import Load

from persimmonusher_model.profile import Profile

PROFILE = Profile(
    suspect_ms=2_500,
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
    fault_share=0.9,
    seconds=20.0,
)
"""Two purchases for each lookup, at two fifths of the slots, with a third of the servers faulty."""
