use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use magnoliaspar_load::Line;
use serde_json::{Value, json};

/// The mark before the table on a page.
const START_MARK: &str = "<!-- slopes -->";

/// The mark after the table on a page.
const END_MARK: &str = "<!-- /slopes -->";

/// The kinds of gossip, in the order of their columns.
const KINDS: [&str; 4] = ["heartbeat", "members", "configuration", "quarantine"];

/// Bytes in a mebibyte.
const MIB: f64 = 1024.0 * 1024.0;

/// What was measured at one size.
pub struct Row {
    /// How many instances ran.
    pub instances: usize,
    /// The share of a core that one instance used.
    pub core_percent: f64,
    /// The memory of the whole process.
    pub resident: u64,
    /// The bytes of gossip that one instance sent in a second, by kind, without headers.
    pub gossip: BTreeMap<Box<str>, f64>,
}

/// Returns the rows and their slopes as a table.
pub fn markdown(rows: &[Row]) -> String {
    let mut text = String::from(
        "| instances in the zone | % of a core, each | memory of all and the stand-ins, MiB \
         | heartbeat, B/s each | members, B/s each | configuration, B/s each \
         | quarantine, B/s each |\n\
         |---|---|---|---|---|---|---|\n",
    );
    for row in rows {
        let resident = row.resident as f64 / MIB;
        text += &format!("| {} | {:.3} | {resident:.1} |", row.instances, row.core_percent);
        for kind in KINDS {
            text += &format!(" {:.0} |", row.gossip.get(kind).copied().unwrap_or(0.0));
        }
        text.push('\n');
    }
    if let (Some(core), Some(memory)) = lines(rows) {
        text += &format!("| base of the line | {:.3} | {:.1} | | | | |\n", core.base, memory.base);
        text +=
            &format!("| for each instance | {:.4} | {:.2} | | | | |\n", core.slope, memory.slope);
    }
    text
}

/// Returns the rows and their slopes as JSON.
pub fn json(rows: &[Row]) -> Value {
    let mut sizes = Vec::new();
    for row in rows {
        sizes.push(json!({
            "instances": row.instances,
            "core_percent": row.core_percent,
            "resident_bytes": row.resident,
            "gossip_bytes_per_second": row.gossip,
        }));
    }
    let (core, memory) = lines(rows);
    json!({
        "sizes": sizes,
        "core_percent": core.map(|line| json!({ "base": line.base, "slope": line.slope })),
        "resident_mib": memory.map(|line| json!({ "base": line.base, "slope": line.slope })),
    })
}

/// Replaces the table between the marks of a page.
pub fn replace(path: &Path, table: &str) -> Result<(), Box<str>> {
    let page = fs::read_to_string(path).map_err(|error| error.to_string())?;
    let Some((head, rest)) = page.split_once(START_MARK) else {
        return Err(format!("the page has no {START_MARK}").into());
    };
    let Some((_, tail)) = rest.split_once(END_MARK) else {
        return Err(format!("the page has no {END_MARK}").into());
    };
    let page = format!("{head}{START_MARK}\n{table}{END_MARK}{tail}");
    fs::write(path, page).map_err(|error| error.to_string().into())
}

fn lines(rows: &[Row]) -> (Option<Line>, Option<Line>) {
    let mut core = Vec::new();
    let mut memory = Vec::new();
    for row in rows {
        core.push((row.instances as f64, row.core_percent));
        memory.push((row.instances as f64, row.resident as f64 / MIB));
    }
    (Line::fit(&core), Line::fit(&memory))
}
