//! The commands `query`, `timeline` and `status`, which call an instance's operators' interface.

use std::io::Write;
use std::time::Duration;

use magnoliaspar_core::{Clock, NameError, SystemClock};
use magnoliaspar_event::{EventFilter, Stamp, Timeline};
use magnoliaspar_query::api::{
    EVENTS_PATH, EventsResponse, STATEMENT_PATH, STATUS_PATH, StatementRequest, StatusResponse,
};
use magnoliaspar_query::{Answer, CommandResult, Statement};
use serde_json::json;

use crate::args::{QueryArgs, StatusArgs, TimelineArgs};
use crate::client::{Client, block_on};
use crate::failure::Failure;

/// Runs a query or a command; the text is parsed locally before it is sent.
pub(crate) fn query(args: &QueryArgs, out: &mut dyn Write) -> Result<(), Failure> {
    let text: Box<str> = args.text.join(" ").into();
    Statement::parse(&text)?;
    let mut answer: Answer = block_on(async {
        let client = Client::new(args.operators.as_deref(), args.key_file.as_deref())?;
        client.post(STATEMENT_PATH, &StatementRequest { text }).await
    })?;
    if args.json {
        writeln!(out, "{}", json!(answer))?;
    }
    let findings = std::mem::take(&mut answer.findings);
    let command = answer.command.take();
    if !args.json {
        write!(out, "{answer}")?;
    }
    if !findings.is_empty() {
        return Err(findings.into());
    }
    match command {
        Some(CommandResult::Conflict { winner }) => Err(Failure::Conflict(winner)),
        Some(CommandResult::Accepted { version }) if !args.json => {
            writeln!(out, "accepted as version {version}")?;
            Ok(())
        }
        _ => Ok(()),
    }
}

/// Shows the events of all instances, ordered by time.
pub(crate) fn timeline(args: &TimelineArgs, out: &mut dyn Write) -> Result<(), Failure> {
    let filter = read_filter(args, &SystemClock)?;
    let events: EventsResponse = block_on(async {
        let client = Client::new(args.operators.as_deref(), args.key_file.as_deref())?;
        client.get(&format!("{EVENTS_PATH}?{filter}")).await
    })?;
    let timeline = Timeline::merge(&filter, events.parts, events.silent);
    if args.json {
        writeln!(out, "{}", json!(timeline))?;
    } else {
        write!(out, "{timeline}")?;
    }
    Ok(())
}

/// Shows the state of one instance.
pub(crate) fn status(args: &StatusArgs, out: &mut dyn Write) -> Result<(), Failure> {
    let status: StatusResponse = block_on(async {
        let client = Client::new(args.operators.as_deref(), args.key_file.as_deref())?;
        client.get(STATUS_PATH).await
    })?;
    if args.json {
        writeln!(out, "{}", json!(status))?;
    } else {
        write!(out, "{status}")?;
    }
    Ok(())
}

fn read_filter(args: &TimelineArgs, clock: &dyn Clock) -> Result<EventFilter, Failure> {
    let mut filter = EventFilter::default();
    if let Some(request) = &args.request {
        let request = (&**request).try_into();
        filter.request = Some(request.map_err(|err| invalid_option("--request", err))?);
    }
    if let Some(server) = &args.server {
        let server = (&**server).try_into();
        filter.server = Some(server.map_err(|err| invalid_option("--server", err))?);
    }
    if let Some(since) = args.since {
        filter.since = Some(stamp_before_now(clock, since));
    }
    if let Some(limit) = args.limit {
        filter.limit = limit;
    }
    Ok(filter)
}

fn invalid_option(option: &str, err: NameError) -> Failure {
    Failure::Usage(format!("{option}: {err}").into())
}

fn stamp_before_now(clock: &dyn Clock, age: Duration) -> Stamp {
    Stamp::at(clock.wall().checked_sub(age).unwrap_or(std::time::SystemTime::UNIX_EPOCH))
}
