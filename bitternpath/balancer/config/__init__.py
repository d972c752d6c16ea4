"""Configuration of a node: the platform's JSON file, the operators' TOML file, and logging."""
