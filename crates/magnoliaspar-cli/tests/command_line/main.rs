//! Integration tests of the command line.

mod common;
mod files;
mod operators;
mod serve;
