//! The configuration in force: accepted once at the platform, spread between instances, never reverting.
