"""Loads a running deployment, changes it on the way, and compares runs."""
