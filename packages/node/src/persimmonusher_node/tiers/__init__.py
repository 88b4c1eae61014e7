"""Entries and keepers as separate roles: an entry gets all shared state from a keeper."""
