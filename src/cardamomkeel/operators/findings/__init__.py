"""Checks of the state of a fleet, one module for each check."""
