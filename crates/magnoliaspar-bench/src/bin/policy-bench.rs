//! Runs the benchmarks of the policy and prints their reports or checks their bounds.

use std::path::Path;
use std::process::ExitCode;

use gumdrop::Options;
use magnoliaspar_bench::{
    Bound, Deployment, Evidence, KnownRed, Scenario, comparison_runs, run_all, slopes, table,
};

/// The command-line options.
#[derive(Debug)]
#[derive(Options)]
struct Cli {
    /// print this help
    #[options(no_short)]
    help: bool,
    /// print the reports as JSON
    #[options(no_short)]
    json: bool,
    /// run only this scenario
    #[options(no_short, meta = "NAME")]
    scenario: Option<String>,
    /// run only this deployment
    #[options(no_short, meta = "NAME")]
    deployment: Option<String>,
    /// give the policy the weights of this deployment
    #[options(no_short, meta = "NAME")]
    weights_of: Option<String>,
    /// draw the requests from this seed
    #[options(no_short, default = "1", meta = "N")]
    seed: u64,
    /// check the bounds on all scenarios
    #[options(no_short)]
    check: bool,
    /// print the cost of a decision as pool and queue grow
    #[options(no_short)]
    slopes: bool,
}

/// The seed of the runs for which `KNOWN-RED.txt` lists failures.
const LISTED_SEED: u64 = 1;

/// Path of the list of known failures. The command must run in the root of the repository.
const KNOWN_RED: &str = "KNOWN-RED.txt";

fn main() -> ExitCode {
    let cli = Cli::parse_args_default_or_exit();
    if cli.slopes {
        println!("{}", slopes());
        return ExitCode::SUCCESS;
    }
    if cli.check {
        return check(cli.seed);
    }
    let scenarios = match &cli.scenario {
        None => Scenario::ALL.to_vec(),
        Some(name) => match Scenario::from_name(name) {
            Some(scenario) => vec![scenario],
            None => return unknown_name("scenario", name),
        },
    };
    let mut deployments = Deployment::all().to_vec();
    if let Some(name) = &cli.deployment {
        deployments.retain(|deployment| *deployment.name == **name);
        if deployments.is_empty() {
            return unknown_name("deployment", name);
        }
    }
    if let Some(name) = &cli.weights_of {
        let all = Deployment::all();
        let Some(other) = all.iter().find(|deployment| *deployment.name == **name) else {
            return unknown_name("deployment", name);
        };
        for deployment in &mut deployments {
            deployment.weights = other.weights;
        }
    }
    let reports = run_all(&comparison_runs(&deployments, &scenarios, cli.seed));
    if cli.json {
        let text = serde_json::to_string_pretty(&reports).expect("a report is valid JSON");
        println!("{text}");
    } else {
        println!("{}", table(&reports));
    }
    ExitCode::SUCCESS
}

/// Checks all bounds. Missed bounds that are listed as known failures do not fail the check.
fn check(seed: u64) -> ExitCode {
    let known_red = match KnownRed::read(Path::new(KNOWN_RED)) {
        Ok(known_red) if seed == LISTED_SEED => known_red,
        Ok(_) => KnownRed::default(),
        Err(err) => {
            eprintln!("cannot read {KNOWN_RED}: {err}");
            return ExitCode::from(2);
        }
    };
    let evidence = Evidence::collect(seed);
    let mut is_accepted = true;
    for bound in Bound::ALL {
        let misses = bound.misses(&evidence);
        let verdict = known_red.judge(&bound.to_string(), misses.is_empty());
        is_accepted &= verdict.is_accepted();
        println!("{bound}: {verdict}");
        for miss in misses {
            println!("    {miss}");
        }
    }
    if is_accepted { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Prints that a name on the command line is unknown and returns the exit code.
fn unknown_name(kind: &str, name: &str) -> ExitCode {
    eprintln!("there is no {kind} with the name {name:?}");
    ExitCode::from(2)
}
