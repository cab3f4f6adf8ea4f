"""The control VMs, and the way to them."""
