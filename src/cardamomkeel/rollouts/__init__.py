"""Roll-outs of a service's version: what entries report and what follows."""
