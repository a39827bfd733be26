//! Operators who ask and command several instances by the command line.

mod commands;
mod common;
mod queries;
