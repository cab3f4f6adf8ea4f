"""Load tests: plans, runs with changes to the deployment, comparisons."""
