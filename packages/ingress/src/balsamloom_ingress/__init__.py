"""Memory and bodies of callers' requests, within the limits of a process."""
