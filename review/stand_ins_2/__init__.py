"""Small stand-ins of the second review."""
