"""Decisions under load, kept apart from input and output."""
