use gumdrop::Options;

use crate::args::{Args, Command};

/// What is said of the connection by all commands that need one.
const CONNECTION: &str = "\
The address is taken from --operators or the variable MAGNOLIASPAR_OPERATORS, and the key from
--key-file or the variable MAGNOLIASPAR_KEY. A key is never an argument.
";

/// The exit codes of all commands.
const EXIT_CODES: &str = "\
Exit codes: 0 if all went well, 2 if a file, a statement or the arguments are wrong, 1 otherwise.
";

/// What more there is to say of `serve`.
const SERVE: &str = "\
Logs are written to the standard output, one JSON object a line. The exit code is 0 once the drain
has finished, and 1 if it took longer than the settings allow.

Example: magnoliaspar serve --settings settings.json
";

/// What more there is to say of `gateway`.
const GATEWAY: &str = "\
Logs are written to the standard output, one JSON object a line. The settings file is read again on
SIGHUP and when its content changes; a file with findings is refused and the old settings stay in
force.

Example: magnoliaspar gateway --settings gateway.json
";

/// What more there is to say of `explain`.
const EXPLAIN: &str = "\
Without files the standard input is read. Lines of the request are marked with *, what happened to
its servers and to the instance meanwhile with ~, and dropped lines with !. Lines that cannot be
read are named with file and line. The exit code is 1 if no line names the request.

Example: magnoliaspar explain 9c41d07be2a35f68 one.log two.log
";

/// What more there is to say of `check`.
const CHECK: &str = "\
Each finding has a file, line, column, JSON path and, where it helps, a hint.

Example: magnoliaspar check --settings settings.json declarations.json
";

/// What more there is to say of `diff`.
const DIFF: &str = "\
The declarations are compared with those in force, or with other files.

Example: magnoliaspar diff declarations.json --against before.json
";

/// What more there is to say of `apply`.
const APPLY: &str = "\
The change is made on condition that no other was accepted since the declarations in force were
read. Instances that cannot be reached, or are still behind at the end, are named.

Example: magnoliaspar apply declarations.json --operators 10.0.0.5:8082 --key-file key
";

/// What more there is to say of `query`.
const QUERY: &str = "\
A mistake in the text is pointed at before anything is sent.

Examples: magnoliaspar query 'running where route = \"assess\" limit 20'
          magnoliaspar query 'why pack-7'
          magnoliaspar query 'drain server assessor-llm-3 if version 12'
";

/// What more there is to say of `timeline`.
const TIMELINE: &str = "\
Instances that did not answer and events that were dropped are shown as gaps.

Example: magnoliaspar timeline --request pack-7 --since 5m
";

/// What more there is to say of `status`.
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
         magnoliaspar COMMAND --help says more about a command.\n{EXIT_CODES}"
    )
}

/// Returns the help of a command.
pub(crate) fn of_command(command: &Command) -> String {
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
