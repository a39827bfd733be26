//! Shared parts of the tests of whole behaviour.
