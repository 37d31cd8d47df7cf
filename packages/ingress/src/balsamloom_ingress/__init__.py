"""Memory, threads, connections and bodies of callers, within a process.

Decides what a process holds for callers that it doesn't control, and which of
them it sheds first. It serves every listener of edge and storage processes.
"""
