"""Benchmarks of parts of myrtleroad. They print ratios within one run rather than times to be expected."""
