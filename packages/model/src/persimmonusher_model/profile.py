"""Profiles: how traffic toward one kind of backend server is treated.

Each field has a unit in its name, a range, a default, and a reason in its description;
docs/reference/profiles.md is written from this module. Fields that only make sense together are
checked together, and every finding is reported at once.
"""

from typing import Annotated, Any, Final

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from persimmonusher_model.errors import ErrorCode, Finding, UsherError
from persimmonusher_model.spelling import find_nearest

Percent = Annotated[int, Field(ge=0, le=100)]


class Profile(BaseModel):
    """The treatment of one kind of backend server; immutable, replaced as a whole."""

    model_config = ConfigDict(frozen=True, extra="forbid", strict=True)

    idempotent_methods: tuple[str, ...] = Field(
        default=("GET", "HEAD", "OPTIONS"),
        description="Methods whose requests may be sent again. HTTP's safe methods by default.",
    )
    idempotent_paths: tuple[str, ...] = Field(
        default=(),
        description="Path prefixes whose requests are idempotent whatever their method, for "
        "lookups by POST.",
    )
    non_idempotent_paths: tuple[str, ...] = Field(
        default=(),
        description="Path prefixes that are never idempotent, stronger than the two above, for "
        "servers that change state on GET.",
    )
    deadline_ms: int = Field(
        default=10_000,
        ge=10,
        le=600_000,
        description="Time for the whole request when the caller gives none. 10 s is what a "
        "person at a counter waits.",
    )
    max_retries: int = Field(
        default=2,
        ge=0,
        le=5,
        description="Further attempts of an idempotent request. Two cover one gray server and "
        "one unlucky second choice.",
    )
    retry_budget_percent: int = Field(
        default=10,
        ge=0,
        le=50,
        description="Retries and hedges as a share of first attempts, so that retries can't "
        "amplify an overload beyond 1.1 times.",
    )
    retry_slack: float = Field(
        default=100,
        ge=0,
        le=100_000,
        description="Retries in any ten seconds that all instances together may send beyond the "
        "percentage; shared out among them, and never more than ten each. May be a fraction.",
    )
    hedge_after_ms: int = Field(
        default=0,
        ge=0,
        le=60_000,
        description="Send a second copy of an idempotent request after this wait, within the "
        "retry budget; 0 turns hedging off.",
    )
    hedge_slow: bool = Field(
        default=False,
        description="Send a second copy of an idempotent request once answers of its class hardly "
        "ever take as long, and at half of its time at the latest, within half of the retry "
        "budget. For servers that hang while their health is good.",
    )
    fewest_in_progress: int = Field(
        default=1,
        ge=1,
        le=1_000,
        description="Requests that one entry instance may always have in progress. With more "
        "instances than slots an equal part is below one, and an instance whose callers come in "
        "clumps would hold requests back while servers idle.",
    )
    queue_limit: int = Field(
        default=64,
        ge=0,
        le=10_000,
        description="Requests that one entry instance holds for this service while every "
        "server is full. Longer queues only add waiting that ends in a timeout.",
    )
    queue_wait_ms: int = Field(
        default=1_000,
        ge=0,
        le=60_000,
        description="Longest wait in that queue before the request is refused as not run.",
    )
    health_floor_percent: Percent = Field(
        default=60,
        description="Share of a service's announced servers that ejection leaves in place, "
        "whatever the evidence. Below it, a bad answer is still likelier to help than none.",
    )
    detection_sensitivity: float = Field(
        default=0.5,
        ge=0.0,
        le=1.0,
        description="0 weighs false ejections most, 1 weighs detection time most.",
    )
    suspect_ms: int = Field(
        default=0,
        ge=0,
        le=600_000,
        description="Time for which every instance passes a server by after one of them saw it "
        "fail, within the floor; 0 leaves all to the assessor. After it single requests try the "
        "server, lookups where the service has any, until two succeed. Each that fails starts the "
        "time again, and from the fifth in a row on doubles it, up to four times. If too few "
        "requests come to try it with, the server has its full share again after three times more.",
    )
    fewest_suspects: int = Field(
        default=0,
        ge=0,
        le=1_000,
        description="Servers that may be passed by at one time even where the floor leaves fewer, "
        "up to 56% of a service's servers. Chance makes half of a few servers ill together, and "
        "never half of many.",
    )
    far_load_percent: Percent = Field(
        default=10,
        description="Load for each slot, in percent, that a server in another failure domain is "
        "taken to carry in addition. More keeps work near, until the near servers fill up.",
    )
    far_kilobyte_percent: Percent = Field(
        default=0,
        description="The same for each kilobyte of the service's usual answer, in addition. For "
        "links between failure domains that are paid by the byte.",
    )
    opening_load_percent: Percent = Field(
        default=0,
        description="Load for each slot, in percent, that a server without an idle connection of "
        "the instance is taken to carry in addition. More saves new connections, until the "
        "servers with one fill up; 0 chooses as if connections cost nothing.",
    )
    work_aware: bool = Field(
        default=False,
        description="Place requests by the expected time until a server could begin them, from "
        "their learned cost and the fleet's requests in progress, instead of by counts. For "
        "requests that differ in cost, and servers that differ in speed.",
    )
    failure_memory_ms: int = Field(
        default=0,
        ge=0,
        le=600_000,
        description="Time for which an instance remembers the servers that failed in spells, and "
        "prefers others for requests that can't be repeated; 0 remembers none.",
    )
    urgent_first: bool = Field(
        default=False,
        description="Refuse less urgent requests first, by their priority, while a service has "
        "too little capacity. For callers who compete for it.",
    )
    ramp_ms: int = Field(
        default=10_000,
        ge=0,
        le=600_000,
        description="Time over which a server that starts cold, or returns from ejection, "
        "rises to its full share.",
    )
    connections_per_server: int = Field(
        default=330,
        ge=1,
        le=65_000,
        description="Connections to one server from all entry instances together, when it "
        "announces no limit of its own.",
    )
    crash_strikes: int = Field(
        default=2,
        ge=1,
        le=10,
        description="Servers that may break while running the same request before the request "
        "is quarantined. One could be chance; each further one costs a server.",
    )
    quarantine_ms: int = Field(
        default=300_000,
        ge=1_000,
        le=86_400_000,
        description="Time for which a quarantined request is refused at once.",
    )
    key_window_ms: int = Field(
        default=600_000,
        ge=1_000,
        le=86_400_000,
        description="Time for which the outcome under an Idempotency-Key is kept.",
    )
    key_required: bool = Field(
        default=False,
        description="Refuse a non-idempotent request that carries no Idempotency-Key.",
    )
    max_body_bytes: int = Field(
        default=1_048_576,
        ge=0,
        le=67_108_864,
        description="Largest request body taken from a caller.",
    )

    @model_validator(mode="after")
    def _check_combinations(self) -> "Profile":
        problems = []
        if self.queue_wait_ms > self.deadline_ms:
            problems.append(
                f"queue_wait_ms: {self.queue_wait_ms} is longer than deadline_ms "
                f"{self.deadline_ms}: a request would expire in the queue"
            )
        if self.hedge_after_ms >= self.deadline_ms:
            problems.append(
                f"hedge_after_ms: {self.hedge_after_ms} is not shorter than deadline_ms "
                f"{self.deadline_ms}: a hedge could never be sent"
            )
        if self.hedge_after_ms and not self.retry_budget_percent:
            problems.append("hedge_after_ms: hedges need a retry_budget_percent above 0")
        if self.queue_limit and not self.queue_wait_ms:
            problems.append("queue_limit: a queue with queue_wait_ms 0 refuses all it holds")
        if self.key_window_ms < self.deadline_ms:
            problems.append(
                f"key_window_ms: {self.key_window_ms} is shorter than deadline_ms "
                f"{self.deadline_ms}: a key could be free again while its request still runs"
            )
        if problems:
            raise ValueError("\n".join(problems))
        return self

    def is_idempotent(self, method: str, path: str) -> bool:
        """Return whether a request with this method and path may be sent again."""
        if path.startswith(self.non_idempotent_paths):
            return False
        return method in self.idempotent_methods or path.startswith(self.idempotent_paths)


DETECTION_FIRST: Final = Profile(
    detection_sensitivity=0.9, health_floor_percent=50, queue_wait_ms=500
)
"""Favours fast detection: near closing day, a minute on a failing server is a missed entry."""

EJECTION_AVERSE: Final = Profile(detection_sensitivity=0.1, health_floor_percent=75)
"""Avoids false ejections: in a small fleet every worker removed in error slows the counter."""

PRESETS: Final = {"detection-first": DETECTION_FIRST, "ejection-averse": EJECTION_AVERSE}


def parse_profile(document: dict[str, Any]) -> Profile:
    """Return the profile in a document; raise UsherError with all findings if it is invalid.

    A document may name a preset to start from: `{"preset": "ejection-averse", "ramp_ms": 5000}`.
    """
    fields = dict(document)
    preset_name = fields.pop("preset", None)
    findings: list[Finding] = []
    base: dict[str, Any] = {}
    if preset_name is not None and preset_name not in PRESETS:
        message = f"no preset named {preset_name!r}; there are {', '.join(PRESETS)}"
        findings.append(Finding(ErrorCode.BAD_VALUE, "preset", message))
    elif preset_name is not None:
        base = PRESETS[preset_name].model_dump(exclude_defaults=True)
    for name in ("idempotent_methods", "idempotent_paths", "non_idempotent_paths"):
        if isinstance(fields.get(name), list):
            fields[name] = tuple(fields[name])
    profile = None
    try:
        profile = Profile.model_validate({**base, **fields})
    except ValidationError as error:
        findings.extend(collect_findings(error, tuple(Profile.model_fields)))
    if profile is None or findings:
        raise UsherError(ErrorCode.BAD_VALUE, "the profile was refused", findings)
    return profile


def collect_findings(error: ValidationError, known: tuple[str, ...]) -> list[Finding]:
    """Convert a validation error to findings; for an unknown key, suggest the nearest known."""
    findings = []
    for detail in error.errors():
        path = ".".join(str(part) for part in detail["loc"])
        if detail["type"] == "extra_forbidden":
            nearest = find_nearest(str(detail["loc"][-1]), known)
            hint = f"; did you mean {nearest!r}?" if nearest else ""
            findings.append(Finding(ErrorCode.UNKNOWN_KEY, path, f"unknown key{hint}"))
        elif detail["type"] == "missing":
            findings.append(Finding(ErrorCode.MISSING_KEY, path, "is required"))
        elif detail["type"] == "value_error":
            findings.extend(_split_combinations(path, detail["msg"]))
        else:
            message = f"{detail['msg']}, not {detail['input']!r}"
            findings.append(Finding(ErrorCode.BAD_VALUE, path, message))
    return findings


def _split_combinations(path: str, message: str) -> list[Finding]:
    lines = message.removeprefix("Value error, ").split("\n")
    findings = []
    for line in lines:
        field, separator, text = line.partition(": ")
        place = field if separator and not path else path
        findings.append(
            Finding(ErrorCode.IMPOSSIBLE_COMBINATION, place, text if separator else line)
        )
    return findings
