//! The arguments of the program and their help texts.

use std::time::Duration;

use gumdrop::Options;
use magnoliaspar_json::parse_duration;

/// Routes requests to separate pools of prefill and decode engines.
#[derive(Debug)]
#[derive(Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "print the version of the program", no_short)]
    pub(crate) version: bool,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

/// The commands of the program.
#[derive(Debug)]
#[derive(Options)]
pub(crate) enum Command {
    #[options(help = "run an instance")]
    Serve(ServeArgs),
    #[options(help = "run an instance on the users' platform")]
    Gateway(GatewayArgs),
    #[options(help = "reconstruct the history of a request from logs")]
    Explain(ExplainArgs),
    #[options(help = "check declarations and settings, and report all findings")]
    Check(CheckArgs),
    #[options(help = "show the changes that declarations would make")]
    Diff(DiffArgs),
    #[options(help = "apply declarations and wait until they are in force")]
    Apply(ApplyArgs),
    #[options(help = "run a query or a command")]
    Query(QueryArgs),
    #[options(help = "show the events of all instances, ordered by time")]
    Timeline(TimelineArgs),
    #[options(help = "show the state of an instance")]
    Status(StatusArgs),
}

/// Runs an instance until SIGTERM or SIGINT, then drains it.
#[derive(Debug)]
#[derive(Options)]
pub(crate) struct ServeArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "the settings of the instance", meta = "FILE", no_short, parse(from_str))]
    pub(crate) settings: Option<Box<str>>,
}

/// Runs an instance on the users' platform until SIGTERM or SIGINT, then drains it.
#[derive(Debug)]
#[derive(Options)]
pub(crate) struct GatewayArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "the settings of the instance", meta = "FILE", no_short, parse(from_str))]
    pub(crate) settings: Option<Box<str>>,
}

/// Prints what the logs of several instances contain about one request, in order of time.
#[derive(Debug)]
#[derive(Options)]
pub(crate) struct ExplainArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(free, help = "the identifier of the request and the log files", parse(from_str))]
    pub(crate) free: Vec<Box<str>>,
}

/// Checks declarations as a whole and each settings file, and reports all findings together.
#[derive(Debug)]
#[derive(Options)]
pub(crate) struct CheckArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(
        help = "a settings file of an instance to check",
        meta = "FILE",
        no_short,
        parse(from_str)
    )]
    pub(crate) settings: Vec<Box<str>>,
    #[options(
        help = "a settings file of a gateway to check",
        meta = "FILE",
        no_short,
        parse(from_str)
    )]
    pub(crate) gateway_settings: Vec<Box<str>>,
    #[options(help = "print findings as JSON", no_short)]
    pub(crate) json: bool,
    #[options(free, help = "the declaration files", parse(from_str))]
    pub(crate) files: Vec<Box<str>>,
}

/// Shows what declarations would add (+), remove (-) and change (~).
#[derive(Debug)]
#[derive(Options)]
pub(crate) struct DiffArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(
        help = "compare with this file instead of an instance",
        meta = "FILE",
        no_short,
        parse(from_str)
    )]
    pub(crate) against: Vec<Box<str>>,
    #[options(
        help = "the address of an instance's operators' interface",
        meta = "ADDRESS",
        no_short,
        parse(from_str)
    )]
    pub(crate) operators: Option<Box<str>>,
    #[options(help = "the file with the operator's key", meta = "FILE", no_short, parse(from_str))]
    pub(crate) key_file: Option<Box<str>>,
    #[options(help = "print the change as JSON", no_short)]
    pub(crate) json: bool,
    #[options(free, help = "the declaration files", parse(from_str))]
    pub(crate) files: Vec<Box<str>>,
}

/// Applies declarations and waits until they are in force.
#[derive(Debug)]
#[derive(Options)]
pub(crate) struct ApplyArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(
        help = "the address of an instance's operators' interface",
        meta = "ADDRESS",
        no_short,
        parse(from_str)
    )]
    pub(crate) operators: Option<Box<str>>,
    #[options(help = "the file with the operator's key", meta = "FILE", no_short, parse(from_str))]
    pub(crate) key_file: Option<Box<str>>,
    #[options(help = "apply only if this version is in force", meta = "VERSION", no_short)]
    pub(crate) if_version: Option<u64>,
    #[options(
        help = "timeout for the declarations to be in force on all instances (default 60s)",
        meta = "DURATION",
        no_short,
        parse(try_from_str = "parse_duration")
    )]
    pub(crate) wait: Option<Duration>,
    #[options(help = "print the result as JSON", no_short)]
    pub(crate) json: bool,
    #[options(free, help = "the declaration files", parse(from_str))]
    pub(crate) files: Vec<Box<str>>,
}

/// Runs a query or a command.
#[derive(Debug)]
#[derive(Options)]
pub(crate) struct QueryArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(
        help = "the address of an instance's operators' interface",
        meta = "ADDRESS",
        no_short,
        parse(from_str)
    )]
    pub(crate) operators: Option<Box<str>>,
    #[options(help = "the file with the operator's key", meta = "FILE", no_short, parse(from_str))]
    pub(crate) key_file: Option<Box<str>>,
    #[options(help = "print the answer as JSON", no_short)]
    pub(crate) json: bool,
    #[options(free, help = "the text of the query or command", parse(from_str))]
    pub(crate) text: Vec<Box<str>>,
}

/// Shows the events of all instances, ordered by time.
#[derive(Debug)]
#[derive(Options)]
pub(crate) struct TimelineArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(
        help = "the address of an instance's operators' interface",
        meta = "ADDRESS",
        no_short,
        parse(from_str)
    )]
    pub(crate) operators: Option<Box<str>>,
    #[options(help = "the file with the operator's key", meta = "FILE", no_short, parse(from_str))]
    pub(crate) key_file: Option<Box<str>>,
    #[options(help = "only events of this request", meta = "REQUEST", no_short, parse(from_str))]
    pub(crate) request: Option<Box<str>>,
    #[options(
        help = "only events that involve this backend server",
        meta = "SERVER",
        no_short,
        parse(from_str)
    )]
    pub(crate) server: Option<Box<str>>,
    #[options(
        help = "only events of the last DURATION, such as 5m",
        meta = "DURATION",
        no_short,
        parse(try_from_str = "parse_duration")
    )]
    pub(crate) since: Option<Duration>,
    #[options(help = "the maximum number of events from each instance", meta = "COUNT", no_short)]
    pub(crate) limit: Option<usize>,
    #[options(help = "print the time line as JSON", no_short)]
    pub(crate) json: bool,
}

/// Shows the state of an instance.
#[derive(Debug)]
#[derive(Options)]
pub(crate) struct StatusArgs {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(
        help = "the address of an instance's operators' interface",
        meta = "ADDRESS",
        no_short,
        parse(from_str)
    )]
    pub(crate) operators: Option<Box<str>>,
    #[options(help = "the file with the operator's key", meta = "FILE", no_short, parse(from_str))]
    pub(crate) key_file: Option<Box<str>>,
    #[options(help = "print the state as JSON", no_short)]
    pub(crate) json: bool,
}
