"""Tools for development and measurement."""
