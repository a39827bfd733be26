//! The command line.
//!
//! [`run`] parses the arguments and does what they say; the exit code is 0 if all went well, 2 if
//! settings, declarations, a statement or the arguments are wrong, and 1 otherwise.

mod apply;
mod args;
mod ask;
mod check;
mod client;
mod diff;
mod explain;
mod failure;
mod gateway;
mod help;
mod line_queue;
mod logs;
mod serve;

use std::io::Write;
use std::process::ExitCode;

use gumdrop::Options;

use self::args::{Args, Command};
use self::failure::Failure;

/// Runs the command line with the arguments after the program's name.
pub fn run(args: &[Box<str>]) -> ExitCode {
    let status = run_with(args, &mut std::io::stdout(), &mut std::io::stderr());
    ExitCode::from(status)
}

/// Runs the command line, writes answers to `out` and mistakes to `err`, and returns the exit code.
pub fn run_with(args: &[Box<str>], out: &mut dyn Write, err: &mut dyn Write) -> u8 {
    match dispatch(args, out) {
        Ok(()) => 0,
        Err(failure) => {
            // Nothing is left to do if the failure cannot be written either.
            let _ = failure.write(err);
            failure.as_exit_code()
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
        write!(out, "{}", help::of_command(&command))?;
        return Ok(());
    }
    match command {
        Command::Serve(args) => serve::serve(&args),
        Command::Gateway(args) => gateway::gateway(&args),
        Command::Explain(args) => explain::explain(&args, out),
        Command::Check(args) => check::check(&args, out),
        Command::Diff(args) => diff::diff(&args, out),
        Command::Apply(args) => apply::apply(&args, out),
        Command::Query(args) => ask::query(&args, out),
        Command::Timeline(args) => ask::timeline(&args, out),
        Command::Status(args) => ask::status(&args, out),
    }
}
