"""Decision logic that runs over the tables; it performs no I/O."""
