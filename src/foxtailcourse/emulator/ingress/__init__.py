"""Simulation of entries that place prompts straight on engines, and baselines."""
