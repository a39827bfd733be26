//! Prints processor time, memory and gossip of instances at rest, at several sizes of an
//! availability zone.

mod instances;
mod page;

use std::collections::BTreeMap;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options;
use magnoliaspar_load::{resident_bytes, thread_time};
use magnoliaspar_standin::{Deployment, DeploymentSpec};

use self::page::Row;

/// How long instances settle before they are measured.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Measures what an instance costs at rest.
#[derive(Debug)]
#[derive(Options)]
struct Args {
    /// print this help
    help: bool,
    /// print JSON
    json: bool,
    /// numbers of instances, ascending, divided by commas
    #[options(default = "3,6,12,24")]
    sizes: String,
    /// how long each size is measured
    #[options(default = "5")]
    seconds: u64,
    /// a page whose slope table is replaced
    write: Option<String>,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    match actix_rt::System::new().block_on(run(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("control-cost: {message}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: Args) -> Result<(), Box<str>> {
    let sizes = parse_sizes(&args.sizes)?;
    if args.seconds == 0 {
        return Err("--seconds must be above zero".into());
    }
    let period = Duration::from_secs(args.seconds);
    let spec = DeploymentSpec::small(&["zone-a"]);
    let deployment = Deployment::start(&spec).await.map_err(|error| error.to_string())?;
    let mut entries = Vec::new();
    let mut rows = Vec::new();
    for size in sizes {
        while entries.len() < size {
            let name = format!("a-{}", entries.len() + 1);
            entries.push(instances::start(&deployment, &name)?);
        }
        for entry in &entries {
            entry.wait_until_ready().await?;
        }
        tokio::time::sleep(SETTLE_TIME).await;
        rows.push(measure(&entries, period).await?);
    }
    let table = page::markdown(&rows);
    match args.json {
        true => println!("{}", page::json(&rows)),
        false => println!("{table}"),
    }
    if let Some(path) = args.write {
        page::replace(Path::new(&path), &table)?;
    }
    Ok(())
}

async fn measure(entries: &[instances::Entry], period: Duration) -> Result<Row, Box<str>> {
    let sent = total_gossip(entries).await?;
    let start = tokio::time::Instant::now();
    let before = total_time(entries).map_err(|error| error.to_string())?;
    tokio::time::sleep(period).await;
    let after = total_time(entries).map_err(|error| error.to_string())?;
    let used = after.saturating_sub(before);
    let seconds = start.elapsed().as_secs_f64();
    let share = used.as_secs_f64() / seconds / entries.len() as f64;
    let mut gossip = total_gossip(entries).await?;
    let instance_seconds = start.elapsed().as_secs_f64() * entries.len() as f64;
    for (kind, bytes) in &mut gossip {
        *bytes = (*bytes - sent.get(kind).copied().unwrap_or(0.0)) / instance_seconds;
    }
    let resident = resident_bytes().map_err(|error| error.to_string())?;
    Ok(Row { instances: entries.len(), core_percent: share * 100.0, resident, gossip })
}

async fn total_gossip(entries: &[instances::Entry]) -> Result<BTreeMap<Box<str>, f64>, Box<str>> {
    let mut total = BTreeMap::new();
    for entry in entries {
        for (kind, bytes) in entry.gossip_bytes().await? {
            *total.entry(kind).or_insert(0.0) += bytes;
        }
    }
    Ok(total)
}

fn total_time(entries: &[instances::Entry]) -> std::io::Result<Duration> {
    let mut total = Duration::ZERO;
    for entry in entries {
        total += thread_time(entry.thread)?;
    }
    Ok(total)
}

fn parse_sizes(text: &str) -> Result<Vec<usize>, Box<str>> {
    let mut sizes = Vec::new();
    for word in text.split(',') {
        let size: usize = word.trim().parse().map_err(|_| format!("{word} is not a size"))?;
        if sizes.last().copied().unwrap_or(0) >= size {
            return Err("sizes must be above zero and ascend".into());
        }
        sizes.push(size);
    }
    Ok(sizes)
}
