"""The replicated log of the control VMs."""
