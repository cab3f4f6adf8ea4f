"""Load-balancing policies as pure logic, without I/O or a clock."""
