"""Rollouts: their state at one daemon, evidence, rollback decisions and reports."""
