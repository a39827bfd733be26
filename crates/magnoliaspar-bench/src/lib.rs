//! Benchmarks of the policy in virtual time, with bounds.
