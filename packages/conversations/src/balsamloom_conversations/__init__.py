"""Turns of conversations and the storage hosts that keep them."""
