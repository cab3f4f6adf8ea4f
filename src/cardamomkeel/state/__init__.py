"""The state that the control VMs replicate."""
