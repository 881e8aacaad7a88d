"""Bodies of messages on their way through a node, held in bounded memory. Pure: no I/O, no clock."""
