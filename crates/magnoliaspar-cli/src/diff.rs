//! The command `diff`.

use std::io::{self, Write};

use magnoliaspar_declaration::{Document, DocumentDelta};
use magnoliaspar_json::{ROOT, child_path};
use magnoliaspar_query::api::{CONFIG_PATH, ConfigResponse};
use serde_json::Value;

use crate::args::DiffArgs;
use crate::check::read_declarations;
use crate::client::{Client, block_on};
use crate::failure::Failure;

/// Shows the changes that declaration files would make.
pub(crate) fn diff(args: &DiffArgs, out: &mut dyn Write) -> Result<(), Failure> {
    let target = read_declarations(&args.files)?.document;
    let from = read_base(args)?;
    let delta = from.diff(&target);
    if args.json {
        writeln!(out, "{}", serde_json::json!(delta))?;
        return Ok(());
    }
    write_delta(out, &from, &delta)?;
    Ok(())
}

/// Writes a change in readable form: removals, changed fields and additions.
pub(crate) fn write_delta(
    out: &mut dyn Write,
    from: &Document,
    delta: &DocumentDelta,
) -> io::Result<()> {
    if delta.is_empty() {
        return writeln!(out, "nothing changes");
    }
    for id in &delta.removals {
        writeln!(out, "- {}", id.0)?;
    }
    for (id, value) in &delta.upserts {
        let Some(before) = from.entities.get(id) else {
            writeln!(out, "+ {}", id.0)?;
            continue;
        };
        writeln!(out, "~ {}", id.0)?;
        write_changes(out, ROOT, Some(before), Some(value))?;
    }
    Ok(())
}

fn read_base(args: &DiffArgs) -> Result<Document, Failure> {
    if !args.against.is_empty() {
        return Ok(read_declarations(&args.against)?.document);
    }
    block_on(async {
        let client = Client::new(args.operators.as_deref(), args.key_file.as_deref())?;
        let response: ConfigResponse = client.get(CONFIG_PATH).await?;
        Ok(response.document)
    })
}

/// Writes the innermost values that differ, one per line.
fn write_changes(
    out: &mut dyn Write,
    path: &str,
    before: Option<&Value>,
    after: Option<&Value>,
) -> io::Result<()> {
    if before == after {
        return Ok(());
    }
    if let (Some(Value::Object(before)), Some(Value::Object(after))) = (before, after) {
        let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
        names.sort();
        names.dedup();
        for name in names {
            write_changes(out, &child_path(path, name), before.get(name), after.get(name))?;
        }
        return Ok(());
    }
    let format_value = |value: Option<&Value>| match value {
        Some(value) => value.to_string(),
        None => "nothing".into(),
    };
    writeln!(out, "    {path}: {} -> {}", format_value(before), format_value(after))
}
