"""Membership of the daemons: who is there, and what each one serves."""
