"""Plays a scenario: starts discovery, simulated and real sidecars, takes the steps, and measures.

Each measurement is a line of JSON in `records/<scenario>.jsonl`; a run whose event loops were late counts for
nothing, and its lines say so.
"""
