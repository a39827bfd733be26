//! Prints processor time, memory and gossip of idle instances for several numbers of instances in
//! an availability zone.

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

/// Time for instances to settle after they are ready, before they are measured.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Measures the cost of an idle instance.
#[derive(Debug)]
#[derive(Options)]
struct Args {
    /// print this help
    help: bool,
    /// print JSON
    json: bool,
    /// numbers of instances in ascending order, separated by commas
    #[options(default = "3,6,12,24")]
    sizes: String,
    /// duration of the measurement of each size, in seconds
    #[options(default = "5")]
    seconds: u64,
    /// path of a page whose table is replaced
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
    let mut running = Vec::new();
    let mut rows = Vec::new();
    for size in sizes {
        while running.len() < size {
            let name = format!("a-{}", running.len() + 1);
            running.push(instances::start(&deployment, &name)?);
        }
        for instance in &running {
            instance.wait_until_ready().await?;
        }
        tokio::time::sleep(SETTLE_TIME).await;
        rows.push(measure(&running, period).await?);
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

/// Measures running instances for a period.
async fn measure(
    running: &[instances::RunningInstance],
    period: Duration,
) -> Result<Row, Box<str>> {
    let sent_before = total_gossip(running).await?;
    let start = tokio::time::Instant::now();
    let time_before = total_time(running).map_err(|error| error.to_string())?;
    tokio::time::sleep(period).await;
    let time_after = total_time(running).map_err(|error| error.to_string())?;
    let used_time = time_after.saturating_sub(time_before);
    let seconds = start.elapsed().as_secs_f64();
    let core_share = used_time.as_secs_f64() / seconds / running.len() as f64;
    let mut gossip_bytes_per_second = total_gossip(running).await?;
    let instance_seconds = start.elapsed().as_secs_f64() * running.len() as f64;
    for (kind, bytes) in &mut gossip_bytes_per_second {
        *bytes = (*bytes - sent_before.get(kind).copied().unwrap_or(0.0)) / instance_seconds;
    }
    let resident_bytes = resident_bytes().map_err(|error| error.to_string())?;
    Ok(Row {
        instances: running.len(),
        core_percent: core_share * 100.0,
        resident_bytes,
        gossip_bytes_per_second,
    })
}

/// Returns the total bytes of gossip that all instances have sent, by kind.
async fn total_gossip(
    running: &[instances::RunningInstance],
) -> Result<BTreeMap<Box<str>, f64>, Box<str>> {
    let mut total = BTreeMap::new();
    for instance in running {
        for (kind, bytes) in instance.gossip_bytes().await? {
            *total.entry(kind).or_insert(0.0) += bytes;
        }
    }
    Ok(total)
}

/// Returns the total processor time that all instances have used.
fn total_time(running: &[instances::RunningInstance]) -> std::io::Result<Duration> {
    let mut total = Duration::ZERO;
    for instance in running {
        total += thread_time(instance.thread_id)?;
    }
    Ok(total)
}

/// Parses the ascending numbers of instances to measure.
fn parse_sizes(text: &str) -> Result<Vec<usize>, Box<str>> {
    let mut sizes = Vec::new();
    for word in text.split(',') {
        let size: usize =
            word.trim().parse().map_err(|_| format!("{word:?} is not a number of instances"))?;
        if sizes.last().copied().unwrap_or(0) >= size {
            return Err("sizes must be above zero and in ascending order".into());
        }
        sizes.push(size);
    }
    Ok(sizes)
}
