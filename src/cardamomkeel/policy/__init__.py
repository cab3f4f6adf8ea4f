"""Pure decisions, without I/O and without a clock of their own."""
