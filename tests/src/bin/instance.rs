//! The command-line program, built in this package so that its tests can run it as a process.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<Box<str>> = std::env::args().skip(1).map(Box::from).collect();
    magnoliaspar_cli::run(&args)
}
