"""Types that all packages share: profiles, routing, identifiers, the clock and coded errors."""
