"""The entry process."""
