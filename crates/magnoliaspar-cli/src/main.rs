//! The entry point of the binary `magnoliaspar`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut args = Vec::new();
    for arg in std::env::args_os().skip(1) {
        args.push(arg.to_string_lossy().into());
    }
    magnoliaspar_cli::run(&args)
}
