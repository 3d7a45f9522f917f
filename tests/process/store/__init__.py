"""Tests of the store clients."""
