"""The lines that the programs log: a table of kinds, bounds, and a page."""
