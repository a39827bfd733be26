//! The operator takes a key away in a configuration that also adds a workspace whose name has a space. The instance
//! can't read that configuration, takes its own one for the newest, and goes on accepting the key.

#[path = "../6/platform.rs"]
mod platform;

use std::process::exit;
use std::thread;
use std::time::{Duration, Instant};

use platform::{Gateway, Machine, PlainServer, Record, Store, call, has_trouble};

/// `revoke_ms` of the deployment.
const REVOKE: Duration = Duration::from_millis(5_000);

/// Time after the acknowledgement for which the key is tried.
const LENGTH: Duration = Duration::from_secs(20);

fn configuration(version: u32, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-trips","host":"trips.example","path_prefix":"/trips/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":150,"priority":1,"service":"agenda-viajes","max_attempts":1,"anonymous":false}}],"services":[{{"name":"agenda-viajes","max_connections":410,"health_path":"/health"}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":{tenants}}}"#
    )
}

fn request(id: &str, key: &str) -> String {
    format!(
        "POST /trips/{id} HTTP/1.1\r\nHost: trips.example\r\nRequest-Id: {id}\r\nDeadline-Remaining: 1500\r\nAuthorization: Bearer {key}\r\nContent-Length: 4\r\n\r\nbody"
    )
}

fn main() {
    exit(run());
}

/// Runs the case and returns its exit status. What it started ends before.
fn run() -> i32 {
    let mut record = Record::create("review/7");
    let store = Store::start();
    let before = r#"[{"name":"clinica-1","api_keys":["key-taken","key-kept"]}]"#;
    store.put("op", "config", &configuration(7, before));
    let work = Duration::from_millis(30);
    let server = PlainServer::start(&store, "i-agenda-1", "agenda-viajes", work);
    let machine = Machine {
        memory_mb: 512,
        cores: 0.5,
        descriptors: 8_192,
        revocation: r#""is_strict":true,"bound_ms":5000"#,
        seeds: Vec::new(),
    };
    let Some(gateway) = Gateway::start("review-7", &store, &machine) else {
        record.line("the gateway was not ready");
        return 2;
    };
    let front = gateway.front;
    let send = |id: &str, key: &str| {
        let answer = call(front, &request(id, key), Duration::from_secs(3));
        answer.map(|answer| answer.status())
    };
    for (id, key) in [("before-1", "key-taken"), ("before-2", "key-kept")] {
        let status = send(id, key);
        record.line(&format!("{id} with {key}: answer {status:?}"));
        if status != Some(200) {
            record.line("the deployment does not serve");
            return 2;
        }
    }
    let name = if has_trouble() { "Clinica Norte" } else { "clinica-norte" };
    let after = format!(
        r#"[{{"name":"clinica-1","api_keys":["key-kept"]}},{{"name":"{name}","api_keys":["key-new"]}}]"#
    );
    store.put("op", "config", &configuration(9, &after));
    let acknowledged = Instant::now();
    record.line(&format!("version 9 is acknowledged: key-taken is gone, {name:?} is new"));
    let mut late = Vec::new();
    let mut number = 0;
    while acknowledged.elapsed() < LENGTH {
        number += 1;
        let sent = acknowledged.elapsed();
        let (taken, kept, new) = (
            send(&format!("t{number}"), "key-taken"),
            send(&format!("k{number}"), "key-kept"),
            send(&format!("n{number}"), "key-new"),
        );
        record.line(&format!(
            "{:.1} s after: key-taken {taken:?}, key-kept {kept:?}, key-new {new:?}",
            sent.as_secs_f64()
        ));
        if sent > REVOKE {
            late.push(format!("t{number}"));
        }
        thread::sleep(Duration::from_millis(500));
    }
    let runs = server.runs.lock().expect("no thread panics").clone();
    let mut broken = 0;
    for run in &runs {
        let (id, tenant) = (&run.id, run.head.get("tenant-id").unwrap_or_default());
        let is_late = late.contains(id);
        broken += usize::from(is_late);
        let note = if is_late { ", sent later than revoke_ms after the acknowledgement" } else { "" };
        record.line(&format!("the server ran {id} for {tenant}{note}"));
    }
    for line in gateway.log_lines("row_unreadable") {
        record.line(&line);
    }
    if broken > 0 {
        record.line(&format!("BROKEN: {broken} requests with a revoked key ran"));
        return 1;
    }
    record.line("held");
    0
}
