"""The operators' platform: translation of its protocol, nothing else."""
