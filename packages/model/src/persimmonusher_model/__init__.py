"""Words that every package shares: profiles, identifiers, the clock and coded errors."""
