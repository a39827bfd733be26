//! Runs the benchmarks of the policy and prints what they show.

use std::process::ExitCode;

use gumdrop::Options;
use magnoliaspar_bench::{Deployment, Scenario, run_all, table};

/// The options of the command line.
#[derive(Debug, Options)]
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
    /// draw the requests from this seed
    #[options(no_short, default = "1", meta = "N")]
    seed: u64,
}

fn main() -> ExitCode {
    let cli = Cli::parse_args_default_or_exit();
    let scenarios = match &cli.scenario {
        None => Scenario::ALL.to_vec(),
        Some(name) => match Scenario::from_name(name) {
            Some(scenario) => vec![scenario],
            None => return unknown("scenario", name),
        },
    };
    let mut deployments = Deployment::all().to_vec();
    if let Some(name) = &cli.deployment {
        deployments.retain(|deployment| *deployment.name == **name);
        if deployments.is_empty() {
            return unknown("deployment", name);
        }
    }
    let reports = run_all(&deployments, &scenarios, cli.seed);
    if cli.json {
        let text = serde_json::to_string_pretty(&reports).expect("a report is valid JSON");
        println!("{text}");
    } else {
        println!("{}", table(&reports));
    }
    ExitCode::SUCCESS
}

fn unknown(kind: &str, name: &str) -> ExitCode {
    eprintln!("there is no {kind} with the name {name:?}");
    ExitCode::from(2)
}
