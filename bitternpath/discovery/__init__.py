"""The platform's list of workers: reading it, and the catalogue that edge nodes hold."""
