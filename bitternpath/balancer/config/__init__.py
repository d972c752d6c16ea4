"""What a node is told: the platform's JSON file, the operators' TOML file, and how it logs."""
