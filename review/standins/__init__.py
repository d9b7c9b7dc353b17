"""Stand-ins for the platform of the scripts under review/, of the standard library."""
