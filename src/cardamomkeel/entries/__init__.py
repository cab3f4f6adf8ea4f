"""The interface between entries."""
