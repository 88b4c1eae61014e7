"""Gray faults of a stand-in backend server, as data that its control endpoint can replace."""

from random import Random

from pydantic import BaseModel, ConfigDict, Field


class Faults(BaseModel):
    """What goes wrong with real work while the health endpoint, by default, reports healthy."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    fail_percent: int = Field(default=0, ge=0, le=100)
    """Share of real work that is answered 500."""
    fail_fast: bool = False
    """Fail before the service time instead of after it, so that the server looks idle."""
    slow_factor: float = Field(default=1.0, ge=1.0)
    """Multiplies every service time."""
    flap_period_seconds: float = Field(default=0.0, ge=0.0)
    """The faults hold in the first half of each period; 0 keeps them on."""
    truncate_percent: int = Field(default=0, ge=0, le=100)
    """Share of answers cut off in the middle after the work ran."""
    late_seconds: float = Field(default=0.0, ge=0.0)
    """Wait between the end of the work and its answer."""
    health_ok: bool = True
    drains_silently: bool = False
    """Keep serving while it announces that it leaves, so that only the fleet keeps work away."""
    load_factor: float = Field(default=1.0, ge=0.0)
    """Multiplies the reported load; with 0 the server always reports to be idle."""
    load_lag_seconds: float = Field(default=0.0, ge=0.0)
    """Age of the load that is reported."""

    def at(self, now: float) -> "Faults":
        """Return the faults in force at this time, which flapping may switch off."""
        if self.flap_period_seconds and now % self.flap_period_seconds >= (
            self.flap_period_seconds / 2
        ):
            return NO_FAULTS
        return self

    def choose_failure(self, random: Random) -> bool:
        """Return whether this piece of work fails, drawn at random."""
        return random.random() * 100 < self.fail_percent

    def choose_truncation(self, random: Random) -> bool:
        """Return whether this answer is cut off, drawn at random."""
        return random.random() * 100 < self.truncate_percent


NO_FAULTS = Faults()
