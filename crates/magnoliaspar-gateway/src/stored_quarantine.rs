//! Keeps the refused prompts in the platform's table, for instances that restart all at once.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use displaydoc::Display;
use magnoliaspar_retry::{Backoff, PartId};
use magnoliaspar_store::{
    Condition, PlatformError, Row, RowKey, TableService, Transaction, Write, WriteOutcome,
};
use serde::{Deserialize, Serialize};

use crate::gateway::{Gateway, display_parts};
use crate::route::ServiceName;

/// The row that holds the refused prompts.
const ROW: &str = "quarantine/prompts";

/// Maximum number of refused prompts in the row.
const MAX_STORED: usize = 64;

/// Maximum number of parts of one refused prompt in the row.
const MAX_STORED_PARTS: usize = 64;

/// Interval at which it is checked whether the table was restored from a copy, without a call to it.
const EPOCH_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum time until the end of a stored refusal: an hour, and one more for clocks that differ.
const MAX_STORED_REFUSAL_MS: u64 = 2 * 3_600_000;

/// Backoff between two calls to the table after one failed.
const BACKOFF: Backoff =
    Backoff { first: Duration::from_millis(250), longest: Duration::from_secs(4) };

/// Reads the refused prompts at the start, then writes those that this instance learns as coordinator,
/// for as long as the process runs. Writes them again after the table was restored from a copy.
pub async fn keep_quarantine(gateway: Rc<Gateway>, table: Rc<dyn TableService>) {
    repeat(async || read(&gateway, &*table).await).await;
    let mut stored_in = table.epoch();
    loop {
        let is_due = tokio::select! {
            () = gateway.refusals_changed.notified() => true,
            () = tokio::time::sleep(EPOCH_CHECK_INTERVAL) => table.epoch() != stored_in,
        };
        if !is_due || gateway.coordinator().is_some() || !knows_refusals(&gateway) {
            continue;
        }
        repeat(async || write(&gateway, &*table).await).await;
        stored_in = table.epoch();
    }
}

/// Returns whether requests are refused, or were until a refusal was lifted.
fn knows_refusals(gateway: &Gateway) -> bool {
    let now = gateway.clock.now();
    let quarantines = gateway.quarantines.borrow();
    quarantines.values().any(|quarantine| !quarantine.refusals(now).is_empty())
}

/// Repeats a call to the table until it succeeds.
async fn repeat(call: impl AsyncFn() -> Result<(), CallFailure>) {
    let mut failures = 0;
    while let Err(reason) = call().await {
        log::warn!(reason:%; "quarantine_not_stored");
        tokio::time::sleep(BACKOFF.ceiling(failures)).await;
        failures = failures.saturating_add(1);
    }
}

/// Reason why the refused prompts were neither read nor written.
#[derive(Debug)]
#[derive(Display)]
enum CallFailure {
    /// {0}
    Table(PlatformError),
    /// another instance has written the row meanwhile
    Conflict,
    /// the table was restored from a copy meanwhile
    Restored,
}

impl From<PlatformError> for CallFailure {
    fn from(error: PlatformError) -> Self {
        Self::Table(error)
    }
}

/// Parts of prompts that are refused if a prompt has all of them, as stored.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct StoredPrompt {
    service: ServiceName,
    parts: BTreeSet<PartId>,
    /// End of the refusal, in milliseconds since the Unix epoch.
    until_ms: u64,
}

async fn read(gateway: &Gateway, table: &dyn TableService) -> Result<(), CallFailure> {
    let row = table.read(&RowKey(ROW.into())).await?;
    let (now, wall_ms) = (gateway.clock.now(), unix_ms(gateway.clock.wall()));
    for prompt in stored_prompts(row.as_ref(), wall_ms) {
        let remaining_ms = prompt.until_ms - wall_ms;
        let names = display_parts(&prompt.parts);
        log::info!(service = &*prompt.service, parts = &*names, remaining_ms; "prompt_part_restored");
        let remaining = Duration::from_millis(remaining_ms);
        gateway.with_quarantine(&prompt.service, |quarantine| {
            quarantine.merge(now, prompt.parts, remaining)
        });
    }
    Ok(())
}

/// Adds the prompts that this instance refuses to the stored ones, and drops those whose time is over.
async fn write(gateway: &Gateway, table: &dyn TableService) -> Result<(), CallFailure> {
    let key = RowKey(ROW.into());
    let epoch = table.epoch();
    let row = table.read(&key).await?;
    let (now, wall_ms) = (gateway.clock.now(), unix_ms(gateway.clock.wall()));
    let mut prompts = stored_prompts(row.as_ref(), wall_ms);
    for (service, quarantine) in &*gateway.quarantines.borrow() {
        for refusal in quarantine.refusals(now) {
            prompts.retain(|prompt| prompt.service != *service || prompt.parts != refusal.parts);
        }
        for (parts, remaining) in quarantine.refused(now) {
            let until_ms = wall_ms + remaining.as_millis() as u64;
            prompts.push(StoredPrompt { service: service.clone(), parts, until_ms });
        }
    }
    prompts.retain(|prompt| prompt.parts.len() <= MAX_STORED_PARTS);
    prompts.sort_by_key(|prompt| std::cmp::Reverse(prompt.until_ms));
    prompts.truncate(MAX_STORED);
    let condition = row.map_or(Condition::Absent, |row| Condition::Version(row.version));
    let value = Some(serde_json::to_value(&prompts).expect("the prompts have text keys"));
    let transaction = Transaction { writes: vec![Write { key, condition, value }] };
    let outcome = table.commit(&transaction).await?;
    // The version in the condition may belong to another row in a new epoch.
    if table.epoch() != epoch {
        return Err(CallFailure::Restored);
    }
    match outcome {
        WriteOutcome::Applied(_) => {
            log::info!(prompts = prompts.len(); "quarantine_stored");
            Ok(())
        }
        WriteOutcome::Conflict { .. } => Err(CallFailure::Conflict),
    }
}

/// Returns the prompts of a row whose refusal has not ended; none if the row cannot be read.
fn stored_prompts(row: Option<&Row>, wall_ms: u64) -> Vec<StoredPrompt> {
    let Some(row) = row else { return Vec::new() };
    let mut prompts: Vec<StoredPrompt> = match serde_json::from_value(row.value.clone()) {
        Ok(prompts) => prompts,
        Err(error) => {
            let reason: String = error.to_string().chars().take(MAX_REASON_CHARS).collect();
            log::warn!(key = ROW, reason:%; "row_unreadable");
            return Vec::new();
        }
    };
    let last_ms = wall_ms.saturating_add(MAX_STORED_REFUSAL_MS);
    prompts.retain(|prompt| (wall_ms + 1..=last_ms).contains(&prompt.until_ms));
    prompts
}

/// Maximum length of the logged reason why the row is unreadable, which may quote it.
const MAX_REASON_CHARS: usize = 200;

fn unix_ms(wall: SystemTime) -> u64 {
    wall.duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
