"""Decision logic of pomeloarch, without I/O, clocks or tasks.

Each function that decides takes the current time `now` as an argument, in
seconds of a monotonic clock, and a seeded `random.Random` where it needs
randomness. The node carries out the decisions that it returns.
"""
