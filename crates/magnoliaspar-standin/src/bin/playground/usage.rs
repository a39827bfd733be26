//! Prints usage examples.

use magnoliaspar_standin::{CALLER_KEY, OPERATOR_KEY};

use crate::calls;
use crate::instances::EntryInstance;

/// Prints the addresses of the instances and `curl` commands to call them.
pub fn print(entries: &[EntryInstance]) {
    for entry in entries {
        println!(
            "instance {}: callers {}, operators {}",
            entry.name, entry.addresses.callers, entry.addresses.operators
        );
    }
    for call in calls::examples() {
        let callers = entries[call.entry % entries.len()].addresses.callers;
        println!("\n# {}", call.title);
        print!("curl -N http://{callers}{} -H 'authorization: Bearer {CALLER_KEY}'", call.path);
        print!(" -H 'x-request-id: {}'", call.id);
        if let Some(key) = call.key {
            print!(" -H 'idempotency-key: {key}'");
        }
        match &call.body {
            Some(body) => println!(" -H 'content-type: application/json' -d '{body}'"),
            None => println!(),
        }
    }
    let operators = entries[0].addresses.operators;
    let auth = format!("-H 'authorization: Bearer {OPERATOR_KEY}'");
    println!("\n# operators' endpoints");
    println!("curl http://{operators}/readyz");
    println!("curl http://{operators}/metrics");
    println!("curl http://{operators}/v1/status {auth}");
    println!("curl http://{operators}/v1/events {auth}");
    println!("curl http://{operators}/v1/statement {auth} -d '{{\"text\": \"servers\"}}'");
}
