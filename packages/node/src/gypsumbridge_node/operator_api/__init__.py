"""What the operators' resource API does for each request."""
