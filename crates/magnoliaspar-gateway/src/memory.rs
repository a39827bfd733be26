//! The account of memory of an instance: its limits and metrics.

use std::rc::Rc;

use magnoliaspar_http::{Connections, Memory, MemoryKind};

use crate::gateway::Gateway;
use crate::response_memory::ResponseMemory;
use crate::settings::GatewaySettings;

/// Descriptors for the store, other instances, readiness, metrics and files.
const RESERVED_DESCRIPTORS: usize = 64;

/// Part of all descriptors that is for idle connections to servers and second attempts.
const SERVER_PART: usize = 8;

/// Descriptors if neither the settings nor the system name a limit.
const DEFAULT_DESCRIPTORS: usize = 1_024;

/// Creates the account, with the part for responses.
pub fn create(settings: &GatewaySettings) -> Rc<ResponseMemory> {
    ResponseMemory::new(settings.response_memory, Memory::new(settings.memory_limit()))
}

/// Sets the limits by the settings in force, and the metrics.
pub fn report(gateway: &Gateway) {
    let (settings, responses) = (gateway.settings(), &gateway.response_memory);
    responses.set_limit(settings.response_memory);
    responses.account().set_limit(settings.memory_limit());
    let metrics = &gateway.metrics;
    metrics.response_bytes.set(responses.used() as i64);
    metrics.responses_given_up.inc_by(responses.given_up() - metrics.responses_given_up.get());
    for kind in MemoryKind::ALL {
        let room = responses.account().room(kind);
        metrics.set_memory(kind, responses.account().usage(kind), room);
    }
}

/// Creates the connections of callers.
pub fn create_connections(gateway: &Gateway) -> Rc<Connections> {
    let account = gateway.response_memory.account().clone();
    Connections::new(account, caller_descriptors(&gateway.settings()))
}

/// Sets the maximum of connections by the settings in force, and the metrics.
pub fn report_connections(gateway: &Gateway, connections: &Connections) {
    connections.set_max_descriptors(caller_descriptors(&gateway.settings()));
    gateway.metrics.open_connections.set(connections.count() as i64);
}

/// Returns the number of descriptors for callers and the calls to servers that they cause.
fn caller_descriptors(settings: &GatewaySettings) -> usize {
    let all = settings.max_descriptors.or_else(system_descriptors).unwrap_or(DEFAULT_DESCRIPTORS);
    all.saturating_sub(RESERVED_DESCRIPTORS + all / SERVER_PART)
}

/// Returns the limit of open descriptors that the system sets for this process.
fn system_descriptors() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}
