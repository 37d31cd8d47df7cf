"""Clock, results, log events, settings and state dumps for all packages."""
