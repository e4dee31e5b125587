"""The agent: owns the one backend server beside it."""
