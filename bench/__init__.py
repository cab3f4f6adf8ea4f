"""Load generators, benchmarks, fault injection and fake backend servers."""
