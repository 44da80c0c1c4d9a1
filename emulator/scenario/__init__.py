"""Scenarios: the schema of the TOML files, and the plan that is drawn from a scenario with its seed.

The plan is drawn before the run starts. It has the endpoint lists, the sidecars, and each step with its time.
The same file, size and seed give the same plan.
"""
