"""The interface towards operators."""
