//! The account of memory of an instance: its limits and metrics.

use std::rc::Rc;

use magnoliaspar_http::{Memory, MemoryKind};

use crate::gateway::Gateway;
use crate::response_memory::ResponseMemory;
use crate::settings::GatewaySettings;

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
