//! The command `apply`.

use std::io::Write;
use std::time::{Duration, Instant};

use magnoliaspar_core::{Clock, SystemClock};
use magnoliaspar_declaration::{Document, DocumentDelta};
use magnoliaspar_query::api::{
    APPLY_PATH, ApplyRequest, ApplyResponse, CONFIG_PATH, ConfigResponse, SPREAD_PATH,
    SpreadResponse,
};
use serde_json::json;

use crate::args::ApplyArgs;
use crate::check::read_declarations;
use crate::client::{Client, block_on};
use crate::diff::write_delta;
use crate::failure::Failure;

/// Default of `--wait`: the timeout for declarations to come into force on all instances.
const DEFAULT_WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between two polls of the versions in force.
const SPREAD_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Applies declarations and waits until they are in force on all reachable instances.
pub(crate) fn apply(args: &ApplyArgs, out: &mut dyn Write) -> Result<(), Failure> {
    let target = read_declarations(&args.files)?.document;
    block_on(async {
        let client = Client::new(args.operators.as_deref(), args.key_file.as_deref())?;
        let config: ConfigResponse = client.get(CONFIG_PATH).await?;
        let delta = config.document.diff(&target);
        if !args.json {
            write_delta(out, &config.document, &delta)?;
        }
        let version = submit_change(args, &client, &config, &target, delta).await?;
        let wait = args.wait.unwrap_or(DEFAULT_WAIT_TIMEOUT);
        let spread = wait_until_in_force(&client, &SystemClock, version, wait).await?;
        report_result(args, out, version, &spread)
    })
}

/// Submits the change and returns the version that contains it.
///
/// An empty change against the current version is not sent.
async fn submit_change(
    args: &ApplyArgs,
    client: &Client,
    config: &ConfigResponse,
    target: &Document,
    delta: DocumentDelta,
) -> Result<u64, Failure> {
    let expected_version = args.if_version.unwrap_or(config.version);
    if expected_version == config.version && delta.is_empty() {
        return Ok(config.version);
    }
    let req = ApplyRequest { expected_version, delta };
    match client.post(APPLY_PATH, &req).await {
        Ok(ApplyResponse::Accepted { version }) => Ok(version),
        Ok(ApplyResponse::Conflict { winner }) => Err(Failure::Conflict(winner)),
        Ok(ApplyResponse::Refused { findings }) => Err(findings.into()),
        Err(failure @ Failure::Connection { .. }) => {
            resolve_lost_response(client, target, config, failure).await
        }
        Err(failure) => Err(failure),
    }
}

/// Determines whether a change was accepted although the response to it was lost.
async fn resolve_lost_response(
    client: &Client,
    target: &Document,
    previous: &ConfigResponse,
    failure: Failure,
) -> Result<u64, Failure> {
    let Ok(current_config) = client.get::<ConfigResponse>(CONFIG_PATH).await else {
        let message = format!("{failure}; the change may have been accepted, run diff to find out");
        return Err(Failure::Other(message.into()));
    };
    if current_config.version > previous.version && current_config.document == *target {
        return Ok(current_config.version);
    }
    let message = format!(
        "{failure}; version {} is in force without the change, which may still be accepted",
        current_config.version
    );
    Err(Failure::Other(message.into()))
}

/// Polls until all reachable instances have `version` or newer, or until `wait` has passed.
async fn wait_until_in_force(
    client: &Client,
    clock: &dyn Clock,
    version: u64,
    wait: Duration,
) -> Result<SpreadResponse, Failure> {
    let deadline: Instant = clock.now() + wait;
    loop {
        let is_expired = clock.now() >= deadline;
        match client.get::<SpreadResponse>(SPREAD_PATH).await {
            Ok(spread) if is_expired || spread.outdated(version).is_empty() => return Ok(spread),
            Err(failure) if is_expired || !matches!(failure, Failure::Connection { .. }) => {
                let message =
                    format!("{failure}; where version {version} is in force is not known");
                return Err(Failure::Other(message.into()));
            }
            _ => {}
        }
        actix_rt::time::sleep(SPREAD_POLL_INTERVAL).await;
    }
}

fn report_result(
    args: &ApplyArgs,
    out: &mut dyn Write,
    version: u64,
    spread: &SpreadResponse,
) -> Result<(), Failure> {
    let outdated = spread.outdated(version);
    let up_to_date = spread.instances.len() - outdated.len();
    if args.json {
        let unreachable = &spread.unreachable;
        let result = json!({ "version": version, "behind": outdated, "unreachable": unreachable });
        writeln!(out, "{result}")?;
    } else {
        writeln!(out, "version {version} is in force on {up_to_date} instances")?;
        for instance in &spread.unreachable {
            writeln!(out, "-- not reached: {instance}")?;
        }
    }
    if outdated.is_empty() {
        return Ok(());
    }
    let mut message = format!("version {version} is not in force everywhere:");
    for instance in outdated {
        let name = &instance.instance;
        match instance.version {
            Some(current) => message.push_str(&format!("\n  {name} has version {current}")),
            None => message.push_str(&format!("\n  {name} has received no version")),
        }
    }
    Err(Failure::Other(message.into()))
}
