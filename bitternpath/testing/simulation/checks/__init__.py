"""What actors of a simulated run saw, and pure checkers named after RULES that read nothing else."""
