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

/// How long to wait until declarations are in force, if nothing else is asked for.
const DEFAULT_WAIT: Duration = Duration::from_secs(60);

/// How long to wait between two questions about where a version is in force.
const SPREAD_INTERVAL: Duration = Duration::from_millis(250);

/// Puts declarations in force and waits until they are.
pub(crate) fn apply(args: &ApplyArgs, out: &mut dyn Write) -> Result<(), Failure> {
    let target = read_declarations(&args.files)?.document;
    block_on(async {
        let client = Client::new(args.operators.as_deref(), args.key_file.as_deref())?;
        let config: ConfigResponse = client.get(CONFIG_PATH).await?;
        let delta = config.document.diff(&target);
        if !args.json {
            write_delta(out, &config.document, &delta)?;
        }
        let version = accept(args, &client, &config, &target, delta).await?;
        let wait = args.wait.unwrap_or(DEFAULT_WAIT);
        let spread = await_spread(&client, &SystemClock, version, wait).await?;
        report(args, out, version, &spread)
    })
}

/// Has the change accepted and returns its version.
async fn accept(
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
        Err(failure @ Failure::Connection { .. }) => settle(client, target, config, failure).await,
        Err(failure) => Err(failure),
    }
}

/// Finds out whether a change was accepted although its answer was lost.
async fn settle(
    client: &Client,
    target: &Document,
    before: &ConfigResponse,
    failure: Failure,
) -> Result<u64, Failure> {
    let Ok(after) = client.get::<ConfigResponse>(CONFIG_PATH).await else {
        let message = format!("{failure}; the change may have been accepted, run diff to find out");
        return Err(Failure::Incomplete(message.into()));
    };
    if after.version > before.version && after.document == *target {
        return Ok(after.version);
    }
    let message = format!(
        "{failure}; version {} is in force without the change, which may still be accepted",
        after.version
    );
    Err(Failure::Incomplete(message.into()))
}

/// Waits until all instances that can be reached have `version`, or the time is over.
async fn await_spread(
    client: &Client,
    clock: &dyn Clock,
    version: u64,
    wait: Duration,
) -> Result<SpreadResponse, Failure> {
    let deadline: Instant = clock.now() + wait;
    loop {
        let is_over = clock.now() >= deadline;
        match client.get::<SpreadResponse>(SPREAD_PATH).await {
            Ok(spread) if is_over || spread.behind(version).is_empty() => return Ok(spread),
            Err(failure) if is_over || !matches!(failure, Failure::Connection { .. }) => {
                let message =
                    format!("{failure}; where version {version} is in force is not known");
                return Err(Failure::Incomplete(message.into()));
            }
            _ => {}
        }
        actix_rt::time::sleep(SPREAD_INTERVAL).await;
    }
}

fn report(
    args: &ApplyArgs,
    out: &mut dyn Write,
    version: u64,
    spread: &SpreadResponse,
) -> Result<(), Failure> {
    let behind = spread.behind(version);
    let reached = spread.instances.len() - behind.len();
    if args.json {
        let unreachable = &spread.unreachable;
        let result = json!({ "version": version, "behind": behind, "unreachable": unreachable });
        writeln!(out, "{result}")?;
    } else {
        writeln!(out, "version {version} is in force on {reached} instances")?;
        for instance in &spread.unreachable {
            writeln!(out, "-- not reached: {instance}")?;
        }
    }
    if behind.is_empty() {
        return Ok(());
    }
    let mut message = format!("version {version} is not in force everywhere:");
    for instance in behind {
        let name = &instance.instance;
        match instance.version {
            Some(current) => message.push_str(&format!("\n  {name} has version {current}")),
            None => message.push_str(&format!("\n  {name} has learned no version")),
        }
    }
    Err(Failure::Incomplete(message.into()))
}
