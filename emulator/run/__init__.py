"""Runs a scenario: starts discovery and the simulated and real sidecars, executes the steps, and measures.

Each measurement is one line of JSON in `records/<scenario>.jsonl`. A run whose event loops were too late is
invalid, and its lines are marked accordingly.
"""
