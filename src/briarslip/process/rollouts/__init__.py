"""Rollouts: their state at one daemon, evidence, decisions and reports."""
