"""Entries that send to every target themselves, without owners."""
