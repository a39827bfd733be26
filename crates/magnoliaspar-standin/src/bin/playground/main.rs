//! Runs stand-ins and instances in one process, to try out requests by hand.

mod calls;
mod events;
mod instances;
mod usage;

use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options;
use magnoliaspar_standin::{Deployment, DeploymentSpec};

use self::instances::EntryInstance;

/// Timeout for engine memory to be freed after the last answer.
const FREE_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval of checks for used engine memory.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Starts stand-ins and several instances in two availability zones on loopback addresses.
#[derive(Debug)]
#[derive(Options)]
struct Args {
    /// print this help
    help: bool,
    /// send the example requests, check the answers, and exit
    once: bool,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let result = actix_rt::System::new().block_on(run(args));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("playground: {message}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: Args) -> Result<(), Box<str>> {
    let spec = DeploymentSpec::small(&["zone-a", "zone-b"]);
    let deployment = Deployment::start(&spec).await.map_err(|error| error.to_string())?;
    let mut entries = Vec::new();
    for (zone, name) in [(0, "a-1"), (0, "a-2"), (1, "b-1")] {
        entries.push(instances::start(&deployment, zone, name)?);
    }
    for entry in &entries {
        entry.wait_until_ready().await?;
    }
    if args.once {
        return run_examples(&deployment, &entries).await;
    }
    usage::print(&entries);
    println!("\nPress Ctrl-C to stop.");
    tokio::signal::ctrl_c().await.map_err(|error| error.to_string())?;
    Ok(())
}

/// Sends all example requests, checks the answers, and prints the events of each request.
async fn run_examples(deployment: &Deployment, entries: &[EntryInstance]) -> Result<(), Box<str>> {
    for call in calls::examples() {
        let entry = &entries[call.entry % entries.len()];
        println!("\n== {}, through {}", call.title, entry.name);
        let answer = calls::send(entry, &call).await?;
        println!("{answer}");
        events::print(&entries[0], &call.id).await?;
    }
    calls::check_at_most_once(deployment)?;
    wait_until_memory_free(deployment).await
}

async fn wait_until_memory_free(deployment: &Deployment) -> Result<(), Box<str>> {
    let deadline = tokio::time::Instant::now() + FREE_TIMEOUT;
    while tokio::time::Instant::now() < deadline {
        if deployment.used_pieces() == 0 {
            println!("\nall engine memory is free");
            return Ok(());
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    Err(format!("{} pieces of engine memory are still in use", deployment.used_pieces()).into())
}
