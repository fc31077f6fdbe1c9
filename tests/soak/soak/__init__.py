"""The soak: the tier's own processes on one machine, under random troubles, judged from outside."""
