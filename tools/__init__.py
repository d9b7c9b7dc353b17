"""Tools for developers, which are not shipped."""
