"""Discovery: the list of servers, followed. Failures back off and never lose the last good list."""
