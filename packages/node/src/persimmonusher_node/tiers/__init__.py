"""Entries and keepers as separate roles: entries follow a keeper, which tells them all else."""
