"""Peer failure detection, backend server states and address answers."""
