//! The command line: runs instances, checks and applies declarations, and queries instances.
//!
//! [`run`] parses the arguments and runs the command. The exit code is 0 on success, 2 if settings,
//! declarations, a statement or the arguments are invalid, and 1 otherwise.

mod apply;
mod args;
mod check;
mod client;
mod diff;
mod explain;
mod failure;
mod gateway;
mod help;
mod line_queue;
mod logs;
mod operators;
mod panics;
mod serve;

use std::io::Write;
use std::process::ExitCode;

use gumdrop::Options;

use self::args::{Args, Command};
use self::failure::Failure;

/// Runs the program with `args`, which exclude the program name.
pub fn run(args: &[Box<str>]) -> ExitCode {
    let status = run_with(args, &mut std::io::stdout(), &mut std::io::stderr());
    ExitCode::from(status)
}

/// Runs the program, writes output to `out` and errors to `err`, and returns the exit code.
pub fn run_with(args: &[Box<str>], out: &mut dyn Write, err: &mut dyn Write) -> u8 {
    match dispatch(args, out) {
        Ok(()) => 0,
        Err(failure) => {
            // If the failure cannot be written either, it can be reported nowhere else.
            let _ = failure.write(err);
            failure.exit_code()
        }
    }
}

fn dispatch(args: &[Box<str>], out: &mut dyn Write) -> Result<(), Failure> {
    let args = match Args::parse_args_default(args) {
        Ok(args) => args,
        Err(err) => return Err(Failure::Usage(err.to_string().into())),
    };
    if args.version {
        writeln!(out, "magnoliaspar {}", env!("CARGO_PKG_VERSION"))?;
        return Ok(());
    }
    let Some(command) = args.command else {
        write!(out, "{}", help::overview())?;
        if args.help {
            return Ok(());
        }
        return Err(Failure::Usage("a command is missing".into()));
    };
    if args.help || command.help_requested() {
        write!(out, "{}", help::command_help(&command))?;
        return Ok(());
    }
    match command {
        Command::Serve(args) => serve::serve(&args),
        Command::Gateway(args) => gateway::gateway(&args),
        Command::Explain(args) => explain::explain(&args, out),
        Command::Check(args) => check::check(&args, out),
        Command::Diff(args) => diff::diff(&args, out),
        Command::Apply(args) => apply::apply(&args, out),
        Command::Query(args) => operators::query(&args, out),
        Command::Timeline(args) => operators::timeline(&args, out),
        Command::Status(args) => operators::status(&args, out),
    }
}
