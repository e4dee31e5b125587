"""Speed of backend servers, and even load from old reports."""
