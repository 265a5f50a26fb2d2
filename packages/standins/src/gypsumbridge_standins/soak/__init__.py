"""Randomised runs of the real decisions with every fault, from one seed."""
