"""Discrete-event model of what the gateway serves, and experiments on it."""
