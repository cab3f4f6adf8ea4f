"""Tests, by behave."""
