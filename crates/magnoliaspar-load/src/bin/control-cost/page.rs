//! Renders the measurements and writes them into a page.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use magnoliaspar_load::Line;
use serde_json::{Value, json};

/// The marker before the table on a page.
const START_MARKER: &str = "<!-- slopes -->";

/// The marker after the table on a page.
const END_MARKER: &str = "<!-- /slopes -->";

/// The kinds of gossip messages, in the order of the columns.
const KINDS: [&str; 4] = ["heartbeat", "members", "configuration", "quarantine"];

/// Bytes per mebibyte.
const MIB: f64 = 1024.0 * 1024.0;

/// The measurements at one number of instances.
pub struct Row {
    /// The number of running instances.
    pub instances: usize,
    /// The processor time that one instance used on average, in percent of a core.
    pub core_percent: f64,
    /// The resident memory of the whole process in bytes.
    pub resident_bytes: u64,
    /// The gossip that one instance sent on average, by kind, in bytes per second without headers.
    pub gossip_bytes_per_second: BTreeMap<Box<str>, f64>,
}

/// Returns the rows and the fitted lines as a Markdown table.
pub fn markdown(rows: &[Row]) -> String {
    let mut text = String::from(
        "| instances in the zone | % of a core, each | memory of all and the stand-ins, MiB \
         | heartbeat, B/s each | members, B/s each | configuration, B/s each \
         | quarantine, B/s each |\n\
         |---|---|---|---|---|---|---|\n",
    );
    for row in rows {
        let resident_mib = row.resident_bytes as f64 / MIB;
        text += &format!("| {} | {:.3} | {resident_mib:.1} |", row.instances, row.core_percent);
        for kind in KINDS {
            text +=
                &format!(" {:.0} |", row.gossip_bytes_per_second.get(kind).copied().unwrap_or(0.0));
        }
        text.push('\n');
    }
    if let (Some(core), Some(memory)) = fit_lines(rows) {
        text += &format!("| base of the line | {:.3} | {:.1} | | | | |\n", core.base, memory.base);
        text +=
            &format!("| for each instance | {:.4} | {:.2} | | | | |\n", core.slope, memory.slope);
    }
    text
}

/// Returns the rows and the fitted lines as JSON.
pub fn json(rows: &[Row]) -> Value {
    let mut sizes = Vec::new();
    for row in rows {
        sizes.push(json!({
            "instances": row.instances,
            "core_percent": row.core_percent,
            "resident_bytes": row.resident_bytes,
            "gossip_bytes_per_second": row.gossip_bytes_per_second,
        }));
    }
    let (core, memory) = fit_lines(rows);
    json!({
        "sizes": sizes,
        "core_percent": core.map(|line| json!({ "base": line.base, "slope": line.slope })),
        "resident_mib": memory.map(|line| json!({ "base": line.base, "slope": line.slope })),
    })
}

/// Replaces the table between the markers of a page.
pub fn replace(path: &Path, table: &str) -> Result<(), Box<str>> {
    let page = fs::read_to_string(path).map_err(|error| error.to_string())?;
    let Some((head, rest)) = page.split_once(START_MARKER) else {
        return Err(format!("the page has no marker {START_MARKER}").into());
    };
    let Some((_, tail)) = rest.split_once(END_MARKER) else {
        return Err(format!("the page has no marker {END_MARKER}").into());
    };
    let page = format!("{head}{START_MARKER}\n{table}{END_MARKER}{tail}");
    fs::write(path, page).map_err(|error| error.to_string().into())
}

/// Fits the lines of processor time and memory by the number of instances.
fn fit_lines(rows: &[Row]) -> (Option<Line>, Option<Line>) {
    let mut core = Vec::new();
    let mut memory = Vec::new();
    for row in rows {
        core.push((row.instances as f64, row.core_percent));
        memory.push((row.instances as f64, row.resident_bytes as f64 / MIB));
    }
    (Line::fit(&core), Line::fit(&memory))
}
