//! Reading and checking of settings files.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use magnoliaspar_core::Findings;
use magnoliaspar_json::{Cursor, Object, Source, read_value};

use crate::{
    LogSettings, OperatorKey, OperatorRights, PeerKeys, PlatformSettings, Secret, Settings,
};

/// Minimum length of a key in characters.
const MIN_KEY_CHARS: usize = 16;

/// Default drain limit of an instance.
const DEFAULT_DRAIN_LIMIT: Duration = Duration::from_secs(120);

/// Valid drain limits.
const DRAIN_LIMITS: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_secs(3_600);

/// Default log filter of an instance.
const DEFAULT_LOG_FILTER: &str = "info";

/// The names of rights in settings files.
const RIGHTS: [(&str, OperatorRights); 2] =
    [("read", OperatorRights::Read), ("command", OperatorRights::Command)];

impl Settings {
    /// Reads settings from the text of a JSON file; on failure returns all findings with their
    /// places.
    pub fn read(text: &str, file: &str) -> Result<Self, Findings> {
        let source = Source::parse(text, file)?;
        read_value(source.value(), read_settings).map_err(|findings| source.locate(findings))
    }
}

fn read_settings(cursor: &Cursor) -> Option<Settings> {
    let object = cursor.object()?;
    let instance = object.required("instance").and_then(|field| field.parsed());
    let zone = object.required("zone").and_then(|field| field.parsed());
    let callers = object.required("callers").and_then(|field| field.address());
    let peers = object.required("peers").and_then(|field| field.address());
    let operators = object.required("operators").and_then(|field| field.address());
    let seeds = object.with_default("seeds", [].into(), |field| field.list(Cursor::address));
    let platform = object.required("platform").and_then(|field| read_platform(&field));
    let peer_keys = object.required("peer_keys").and_then(|field| read_peer_keys(&field));
    let operator_keys =
        object.with_default("operator_keys", [].into(), |field| field.list(read_operator_key));
    let log = object.with_default("log", default_log(), read_log);
    let drain_limit = object
        .with_default("drain_limit", DEFAULT_DRAIN_LIMIT, |field| field.duration(DRAIN_LIMITS));
    object.finish();
    check_listeners(&object, [callers, peers, operators]);
    check_operator_keys(&object, operator_keys.as_deref().unwrap_or_default(), &peer_keys);
    Some(Settings {
        instance: instance?,
        zone: zone?,
        callers: callers?,
        peers: peers?,
        operators: operators?,
        seeds: seeds?,
        platform: platform?,
        peer_keys: peer_keys?,
        operator_keys: operator_keys?,
        log: log?,
        drain_limit: drain_limit?,
    })
}

fn read_platform(cursor: &Cursor) -> Option<PlatformSettings> {
    let object = cursor.object()?;
    let table = object.required("table").and_then(|field| field.address());
    let objects = object.required("objects").and_then(|field| field.address());
    let weights = object.required("weights").and_then(|field| field.address());
    let instances = object.required("instances").and_then(|field| field.address());
    object.finish();
    Some(PlatformSettings {
        table: table?,
        objects: objects?,
        weights: weights?,
        instances: instances?,
    })
}

fn read_peer_keys(cursor: &Cursor) -> Option<PeerKeys> {
    let object = cursor.object()?;
    let current = object.required("current").and_then(|field| read_key(&field));
    let other = object.optional("other").map(|field| read_key(&field));
    object.finish();
    let other = match other {
        Some(other) => Some(other?),
        None => None,
    };
    Some(PeerKeys { current: current?, other })
}

fn read_operator_key(cursor: &Cursor) -> Option<OperatorKey> {
    let object = cursor.object()?;
    let name = object.required("name").and_then(|field| field.non_empty_text());
    let key = object.required("key").and_then(|field| read_key(&field));
    let rights = object.required("rights").and_then(|field| field.one_of(&RIGHTS));
    object.finish();
    Some(OperatorKey { name: name?.into(), key: key?, rights: rights? })
}

/// Reads a key; findings contain no part of it.
fn read_key(cursor: &Cursor) -> Option<Secret> {
    let text = cursor.text()?;
    if text.chars().count() < MIN_KEY_CHARS {
        cursor.report(format!("the key has fewer than {MIN_KEY_CHARS} characters"));
        return None;
    }
    if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
        cursor.report("the key has a space or a character that is not ASCII");
        return None;
    }
    Some(Secret::new(text))
}

fn default_log() -> LogSettings {
    LogSettings { filter: DEFAULT_LOG_FILTER.into() }
}

fn read_log(cursor: &Cursor) -> Option<LogSettings> {
    let object = cursor.object()?;
    let filter = object.with_default("filter", DEFAULT_LOG_FILTER.into(), |field| {
        Some(field.non_empty_text()?.into())
    });
    object.finish();
    Some(LogSettings { filter: filter? })
}

/// Checks that no two listeners share an address; port 0 means any free port.
fn check_listeners(object: &Object, addresses: [Option<SocketAddr>; 3]) {
    let mut seen = BTreeSet::new();
    for (name, address) in ["callers", "peers", "operators"].into_iter().zip(addresses) {
        let Some(address) = address else { continue };
        if address.port() == 0 || seen.insert(address) {
            continue;
        }
        if let Some(field) = object.optional(name) {
            field.report(format!("{address} is already used by another listener"));
        }
    }
}

/// Checks that each operator key identifies one operator and is not a key between instances.
fn check_operator_keys(object: &Object, keys: &[OperatorKey], peer_keys: &Option<PeerKeys>) {
    let Some(field) = object.optional("operator_keys") else { return };
    let mut seen: Vec<&Secret> = Vec::new();
    for key in keys {
        let name = &key.name;
        if seen.contains(&&key.key) {
            field.report(format!("the key of {name:?} is also another operator's"));
        }
        if peer_keys.as_ref().is_some_and(|peer_keys| peer_keys.accepts(key.key.expose())) {
            field.report(format!("the key of {name:?} is also a key between instances"));
        }
        seen.push(&key.key);
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use crate::{OperatorRights, Settings};

    const MIDLANDS: &str = include_str!("../../../examples/midlands/settings.json");

    #[test]
    fn complete_settings_are_read() {
        let settings = Settings::read(MIDLANDS, "settings.json").unwrap();
        assert_eq!(settings.zone.as_str(), "mid-a");
        assert_eq!(settings.callers.port(), 8080);
        assert_eq!(settings.seeds.len(), 2);
        assert_eq!(settings.operator_keys[0].rights, OperatorRights::Read);
        assert_eq!(settings.drain_limit, Duration::from_secs(120));
        assert!(settings.peer_keys.accepts(settings.peer_keys.current.expose()));
    }

    #[test]
    fn all_findings_are_reported_with_their_places() {
        let text = MIDLANDS
            .replace("\"zone\": \"mid-a\"", "\"zone\": \"mid a\"")
            .replace("\"127.0.0.1:8081\"", "\"127.0.0.1:8080\"")
            .replace("\"rights\": \"command\"", "\"rights\": \"commands\"")
            .replace("\"120s\"", "120")
            .replace("\"weights\"", "\"weigths\"");
        let findings = Settings::read(&text, "s.json").unwrap_err().to_string();
        let expected = "\
s.json:3:3: $.zone: the name contains ' '; only letters, digits, '-', '_', '.', ':' and '/' are allowed
s.json:5:3: $.peers: 127.0.0.1:8080 is already used by another listener
s.json:8:3: $.platform: the field \"weights\" is missing
s.json:11:5: $.platform.weigths: unknown field \"weigths\" (hint: did you mean \"weights\"?)
s.json:20:58: $.operator_keys[1].rights: \"commands\" is not one of read, command (hint: did you mean \"command\"?)
s.json:23:3: $.drain_limit: expected a string, found a number
";
        assert_eq!(findings, expected);
    }

    #[test]
    fn no_key_appears_in_findings_or_debug_output() {
        let settings = Settings::read(MIDLANDS, "settings.json").unwrap();
        let mut keys = vec![settings.peer_keys.current.expose()];
        for key in &settings.operator_keys {
            keys.push(key.key.expose());
        }
        let mut shown = format!("{settings:?}");
        for key in &keys {
            for bad in ["x", "has a space in it", "prefix-äöü-0123456789"] {
                let text = MIDLANDS.replace(key, bad);
                let findings = Settings::read(&text, "s.json").unwrap_err().to_string();
                assert!(!findings.contains(bad) || bad == "x", "{findings}");
                shown.push_str(&findings);
            }
        }
        let twice = MIDLANDS.replace(keys[2], keys[1]);
        shown.push_str(&Settings::read(&twice, "s.json").unwrap_err().to_string());
        let shared = MIDLANDS.replace(keys[1], keys[0]);
        shown.push_str(&Settings::read(&shared, "s.json").unwrap_err().to_string());
        for key in keys {
            assert!(!shown.contains(key), "{shown}");
        }
    }
}
