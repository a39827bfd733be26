//! Which instances and backend servers live, leave or are dead.
