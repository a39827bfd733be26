//! Tests of the command line as a whole.

mod common;
mod files;
mod operators;
mod serve;
