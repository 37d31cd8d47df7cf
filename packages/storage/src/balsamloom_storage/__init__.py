"""Storage process: serves the turns and usage entries of one host's disk.

It decides what the host fetches from others after a loss and what it may say
of its disk, and serves edge processes and the other storage hosts.
"""
