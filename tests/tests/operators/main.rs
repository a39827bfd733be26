//! Operators who run queries and commands on several instances through the command line.

mod commands;
mod common;
mod queries;
