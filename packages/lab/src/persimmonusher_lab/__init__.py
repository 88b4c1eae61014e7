"""Stand-ins, load, traces and measurements; never imported by the product."""
