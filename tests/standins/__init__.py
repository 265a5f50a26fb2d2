"""Tests of the stand-ins, models and soaks."""
