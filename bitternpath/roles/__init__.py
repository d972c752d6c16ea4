"""The system's programs: edge and storage, their parts put together, settings and life cycle."""
