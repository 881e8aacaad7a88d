"""What a node decides: which server, whether to retry, what to refuse.

Pure: no I/O, no clock, no threads, no unseeded random source. It may import nothing of the project but itself.
"""
