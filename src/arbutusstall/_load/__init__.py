"""Load generator: request kinds, schedule, outcomes and reports."""
