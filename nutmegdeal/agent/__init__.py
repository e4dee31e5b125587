"""The agent, which manages the one backend server that it runs beside."""
