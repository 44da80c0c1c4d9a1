"""Scenarios: what a TOML file may state, and the plan that a seed makes of it.

The plan is drawn before anything runs: endpoint lists, sidecars, and each step with its time. The same file,
size and seed give the same plan.
"""
