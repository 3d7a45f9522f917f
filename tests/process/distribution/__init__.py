"""Tests of the distribution of configuration versions."""
