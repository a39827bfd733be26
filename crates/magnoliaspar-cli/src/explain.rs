//! Reconstructs the history of one request from the logs of several instances.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Write};

use serde_json::{Map, Value};

use crate::args::ExplainArgs;
use crate::failure::Failure;
use crate::line_queue::DROPPED_EVENT;

/// The fields of log lines that name a backend server.
const SERVER_FIELDS: [&str; 3] = ["server", "decode", "prefill"];

/// Time before and after a request in which lines about its servers and about dropped lines are
/// included, in microseconds.
const SERVER_CONTEXT_US: i64 = 5_000_000;

/// Time before and after a request in which lines about its instance, such as lost peers, are
/// included, in microseconds.
const INSTANCE_CONTEXT_US: i64 = 1_000_000;

/// The fields that are not repeated in the `name=value` list of a line.
const PREFIX_FIELDS: [&str; 5] = ["at", "level", "instance", "event", "request"];

/// Prints all log lines of a request and the lines that give its context.
pub(crate) fn explain(args: &ExplainArgs, out: &mut dyn Write) -> Result<(), Failure> {
    let Some((id, files)) = args.free.split_first() else {
        return Err(Failure::Usage("the identifier of a request is missing".into()));
    };
    let mut logs = Logs::default();
    for file in files {
        let opened = std::fs::File::open(&**file);
        let opened = opened.map_err(|cause| Failure::File { file: file.clone(), cause })?;
        logs.read(file, &mut BufReader::new(opened))?;
    }
    if files.is_empty() {
        logs.read("standard input", &mut std::io::stdin().lock())?;
    }
    let history = logs.request_history(id);
    for line in &history {
        writeln!(out, "{line}")?;
    }
    for line in &logs.unparsable {
        writeln!(out, "{line}")?;
    }
    if history.is_empty() {
        return Err(Failure::Other(format!("no line names the request {id}").into()));
    }
    Ok(())
}

/// The parsed lines of all logs, and the positions of those that could not be parsed.
#[derive(Debug, Default)]
struct Logs {
    lines: Vec<Line>,
    unparsable: Vec<Box<str>>,
}

/// A parsed log line; `at_us` is its Unix time in microseconds.
#[derive(Debug)]
struct Line {
    at_us: i64,
    instance: Box<str>,
    event: Box<str>,
    fields: Map<String, Value>,
}

impl Line {
    fn parse(text: &str) -> Option<Self> {
        // Log collectors may prefix the line with a time and a name.
        let json = text.get(text.find('{')?..)?;
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let text = |name: &str| fields.get(name)?.as_str().map(Box::<str>::from);
        let at_us = parse_time(&text("at")?)?;
        Some(Self { at_us, instance: text("instance")?, event: text("event")?, fields })
    }

    /// Returns true if the line belongs to the request `id`.
    fn names_request(&self, id: &str) -> bool {
        self.fields.get("request").and_then(Value::as_str) == Some(id)
    }

    /// Returns the backend servers that the line names.
    fn servers(&self) -> impl Iterator<Item = &str> {
        let fields = SERVER_FIELDS.iter().filter_map(|name| self.fields.get(*name));
        fields.filter_map(Value::as_str).filter(|server| *server != "none")
    }

    /// Formats the line with its time relative to `start_us`.
    fn format(&self, start_us: i64, mark: char) -> Box<str> {
        let offset = (self.at_us - start_us) as f64 / 1_000.0;
        let mut text = format!("{offset:>10.3} ms {mark} {:<16} {}", self.instance, self.event);
        for (name, value) in &self.fields {
            if PREFIX_FIELDS.contains(&name.as_str()) {
                continue;
            }
            match value {
                Value::String(value) => text.push_str(&format!(" {name}={value}")),
                value => text.push_str(&format!(" {name}={value}")),
            }
        }
        text.into()
    }
}

impl Logs {
    /// Reads all lines of `input`; `file` is its name in errors.
    fn read(&mut self, file: &str, input: &mut dyn BufRead) -> Result<(), Failure> {
        for (index, line) in input.split(b'\n').enumerate() {
            let line = line.map_err(|cause| Failure::File { file: file.into(), cause })?;
            let text = String::from_utf8_lossy(&line);
            if text.trim().is_empty() {
                continue;
            }
            match Line::parse(&text) {
                Some(line) => self.lines.push(line),
                None => {
                    let place = format!("{file}:{}: not a log line", index + 1);
                    self.unparsable.push(place.into());
                }
            }
        }
        Ok(())
    }

    /// Returns the lines of a request (marked `*`) with their context, ordered by time.
    ///
    /// The context is lines about its servers and instances (marked `~`) and reports of dropped
    /// lines (marked `!`).
    fn request_history(&self, id: &str) -> Vec<Box<str>> {
        let mut servers = BTreeSet::new();
        let mut spans: BTreeMap<&str, (i64, i64)> = BTreeMap::new();
        for line in self.lines.iter().filter(|line| line.names_request(id)) {
            servers.extend(line.servers());
            let span = spans.entry(&line.instance).or_insert((line.at_us, line.at_us));
            *span = (span.0.min(line.at_us), span.1.max(line.at_us));
        }
        let Some(start_us) = spans.values().map(|span| span.0).min() else { return Vec::new() };
        let mut shown: Vec<(&Line, char)> = Vec::new();
        for line in &self.lines {
            if line.names_request(id) {
                shown.push((line, '*'));
                continue;
            }
            let Some((from, to)) = spans.get(&*line.instance) else { continue };
            let is_within = |context: i64| (from - context..=to + context).contains(&line.at_us);
            if line.fields.contains_key("request") {
                continue;
            }
            let is_gap = line.event.as_ref() == DROPPED_EVENT;
            let is_about_server = line.servers().any(|server| servers.contains(server));
            let is_about_instance = line.servers().next().is_none();
            let is_shown = (is_gap || is_about_server) && is_within(SERVER_CONTEXT_US)
                || is_about_instance && is_within(INSTANCE_CONTEXT_US);
            if is_shown {
                shown.push((line, if is_gap { '!' } else { '~' }));
            }
        }
        shown.sort_by_key(|(line, _)| line.at_us);
        shown.into_iter().map(|(line, mark)| line.format(start_us, mark)).collect()
    }
}

/// Parses a time such as `2026-05-01T10:00:00.123456Z` to Unix time in microseconds.
fn parse_time(text: &str) -> Option<i64> {
    let time = chrono::DateTime::parse_from_rfc3339(text).ok()?;
    Some(time.timestamp_micros())
}

#[cfg(test)]
mod tests {
    use super::Logs;

    const LOG: &str = "\
{\"at\":\"2026-05-01T10:00:00.100000Z\",\"level\":\"info\",\"instance\":\"one\",\"event\":\"placed\",\"request\":\"r1\",\"decode\":\"d1\"}
  12.5 one {\"at\":\"2026-05-01T10:00:00.300000Z\",\"level\":\"warn\",\"instance\":\"one\",\"event\":\"server_lost\",\"server\":\"d1\"}
{\"at\":\"2026-05-01T10:00:00.310000Z\",\"level\":\"warn\",\"instance\":\"one\",\"event\":\"server_lost\",\"server\":\"d2\"}
{\"at\":\"2026-05-01T10:00:00.320000Z\",\"level\":\"info\",\"instance\":\"one\",\"event\":\"placed\",\"request\":\"r2\",\"decode\":\"d1\"}
{\"at\":\"2026-05-01T10:00:00.200000Z\",\"level\":\"warn\",\"instance\":\"one\",\"event\":\"log_lines_dropped\",\"routine\":7,\"failures\":0}
not a line
{\"at\":\"2026-05-01T10:00:00.400000Z\",\"level\":\"warn\",\"instance\":\"one\",\"event\":\"refused\",\"request\":\"r1\",\"reason\":\"may_have_run\"}
";

    #[test]
    fn a_history_has_the_request_its_servers_and_the_gaps() {
        let mut logs = Logs::default();
        logs.read("a.log", &mut LOG.as_bytes()).unwrap();
        let history = logs.request_history("r1");
        let events: Vec<&str> =
            history.iter().map(|line| line.split_whitespace().nth(4).unwrap()).collect();
        assert_eq!(events, ["placed", "log_lines_dropped", "server_lost", "refused"]);
        assert!(history[1].contains("! one"), "{}", history[1]);
        assert!(history[3].contains("300.000 ms * one"), "{}", history[3]);
        assert!(history[3].ends_with("reason=may_have_run"), "{}", history[3]);
        assert_eq!(logs.unparsable, [Box::from("a.log:6: not a log line")]);
        assert!(logs.request_history("r9").is_empty());
    }
}
