"""Stand-ins for the platform, load tools and benchmarks; never deployed."""
