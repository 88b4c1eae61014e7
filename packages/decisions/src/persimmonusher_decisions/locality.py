"""How strongly servers in this failure domain are preferred, by the cost of remote answers."""

from typing import Final

from persimmonusher_model.profile import Profile

BYTES_PER_KILOBYTE: Final = 1_000
NEWEST_SIZE_WEIGHT: Final = 0.05
"""Weight of the newest answer in the moving average of answer sizes. About twenty answers make it
up, so that one large answer doesn't shift a service's work."""
MAX_FAR_LOAD_PER_SLOT: Final = 2.0
"""Load per slot above which waiting at a near server costs a caller more than saved bytes are
worth: with twice its slots filled, a request waits for about one answer before its own begins."""


class Locality:
    """Computes the extra load that is added to servers in other failure domains.

    Links between failure domains are paid by the byte, and the answers of different services
    differ tenfold in size. One figure for all services would either send large answers across
    domains although a near slot is free a moment later, or keep small requests on busy near
    servers and save nothing. So the extra load grows with the service's average answer size.
    """

    def __init__(self, profile: Profile) -> None:
        self._average_bytes: float | None = None
        self._fixed_load = 0.0
        self._load_per_kilobyte = 0.0
        self.replace_profile(profile)

    def replace_profile(self, profile: Profile) -> None:
        """Apply a new profile; the learned answer size is kept."""
        self._fixed_load = profile.far_load_percent / 100.0
        self._load_per_kilobyte = profile.far_kilobyte_percent / 100.0

    def record(self, answer_bytes: int) -> None:
        """Add the size of an answer to the average."""
        average = self._average_bytes
        change = 0.0 if average is None else NEWEST_SIZE_WEIGHT * (answer_bytes - average)
        self._average_bytes = float(answer_bytes) if average is None else average + change

    @property
    def far_load(self) -> float:
        """Return the extra load per slot, at most MAX_FAR_LOAD_PER_SLOT."""
        kilobytes = (self._average_bytes or 0.0) / BYTES_PER_KILOBYTE
        return min(MAX_FAR_LOAD_PER_SLOT, self._fixed_load + self._load_per_kilobyte * kilobytes)
