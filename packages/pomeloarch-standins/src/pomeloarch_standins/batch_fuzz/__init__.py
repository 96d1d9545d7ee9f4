"""A random test of the nodes that serve batch jobs, in virtual time.

A plan of jobs and overlapping faults is drawn from a seed, played on the models
of nodes, store and workers, and judged by the record of all runs. A plan that
fails can be reduced to the fewest faults and jobs with which it still fails.
"""
