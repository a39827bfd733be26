//! The help texts of the program and its commands.

use gumdrop::Options;

use crate::args::{Args, Command};

/// The help on the connection, for all commands that need one.
const CONNECTION: &str = "\
The address is taken from --operators or the environment variable MAGNOLIASPAR_OPERATORS, and the
key from --key-file or the environment variable MAGNOLIASPAR_KEY. A key is never an argument.
";

/// The help on exit codes, for all commands.
const EXIT_CODES: &str = "\
Exit codes: 0 on success, 2 if a file, a statement or the arguments are invalid, 1 otherwise.
";

/// The details of `serve`.
const SERVE: &str = "\
Logs are written to the standard output, one JSON object per line. The exit code is 0 once the drain
has finished, and 1 if it took longer than the settings allow.

Example: magnoliaspar serve --settings settings.json
";

/// The details of `gateway`.
const GATEWAY: &str = "\
Logs are written to the standard output, one JSON object per line. The settings file is read again
on SIGHUP and when its content changes; a file with findings is rejected and the old settings stay
in force.

Example: magnoliaspar gateway --settings gateway.json
";

/// The details of `explain`.
const EXPLAIN: &str = "\
Without files, the standard input is read. Lines of the request are marked with *, lines about its
servers and its instance at that time with ~, and reports of dropped lines with !. Lines that cannot
be parsed are listed with file and line number. The exit code is 1 if no line names the request.

Example: magnoliaspar explain 9c41d07be2a35f68 one.log two.log
";

/// The details of `check`.
const CHECK: &str = "\
Each finding has a file, line, column, JSON path and, where it helps, a hint.

Example: magnoliaspar check --settings settings.json declarations.json
";

/// The details of `diff`.
const DIFF: &str = "\
The declarations are compared with those in force, or with other files.

Example: magnoliaspar diff declarations.json --against before.json
";

/// The details of `apply`.
const APPLY: &str = "\
The change is accepted only if no other change was accepted since the declarations in force were
read. Instances that cannot be reached, or still have an older version at the end, are listed.

Example: magnoliaspar apply declarations.json --operators 10.0.0.5:8082 --key-file key
";

/// The details of `query`.
const QUERY: &str = "\
Syntax errors in the text are reported before anything is sent.

Examples: magnoliaspar query 'running where route = \"assess\" limit 20'
          magnoliaspar query 'why pack-7'
          magnoliaspar query 'drain server assessor-llm-3 if version 12'
";

/// The details of `timeline`.
const TIMELINE: &str = "\
Instances that did not answer and events that were dropped are shown as gaps.

Example: magnoliaspar timeline --request pack-7 --since 5m
";

/// The details of `status`.
const STATUS: &str = "\
Example: magnoliaspar status --operators 10.0.0.5:8082 --key-file key
";

/// Returns the help of the program.
pub(crate) fn overview() -> String {
    let commands = Args::command_list().unwrap_or_default();
    let options = Args::usage();
    format!(
        "Usage: magnoliaspar [OPTIONS] COMMAND [ARGUMENTS]\n\n{options}\n\n\
         Commands:\n{commands}\n\n\
         magnoliaspar COMMAND --help shows the help of a command.\n{EXIT_CODES}"
    )
}

/// Returns the help of a command.
pub(crate) fn command_help(command: &Command) -> String {
    let name = command.command_name().unwrap_or_default();
    let (arguments, details, connection) = match command {
        Command::Serve(_) => ("--settings FILE", SERVE, ""),
        Command::Gateway(_) => ("--settings FILE", GATEWAY, ""),
        Command::Explain(_) => ("ID [FILES...]", EXPLAIN, ""),
        Command::Check(_) => ("[OPTIONS] FILES...", CHECK, ""),
        Command::Diff(_) => ("[OPTIONS] FILES...", DIFF, CONNECTION),
        Command::Apply(_) => ("[OPTIONS] FILES...", APPLY, CONNECTION),
        Command::Query(_) => ("[OPTIONS] TEXT", QUERY, CONNECTION),
        Command::Timeline(_) => ("[OPTIONS]", TIMELINE, CONNECTION),
        Command::Status(_) => ("[OPTIONS]", STATUS, CONNECTION),
    };
    let options = command.self_usage();
    format!(
        "Usage: magnoliaspar {name} {arguments}\n\n{options}\n\n{details}\n{connection}{EXIT_CODES}"
    )
}
