"""The HTTP interface between entries."""
