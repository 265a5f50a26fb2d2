"""Client-side policies, the baselines of the comparison."""
