"""Tests, one folder for each package."""
