"""Load, measurements and the stand-ins that they need."""
