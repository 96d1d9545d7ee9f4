"""The decisions of pomeloarch: no input, output, clock or task.

Every deciding function takes the present time `now` as an argument, in
seconds of a monotonic clock, and a seeded `random.Random` where it needs
chance. The node carries the returned decisions out.
"""
