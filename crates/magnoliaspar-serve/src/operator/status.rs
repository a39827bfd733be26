//! The state and the configuration of this instance, as operators see them.

use magnoliaspar_query::api::{ConfigResponse, ErrorCode, ErrorResponse, StatusResponse};

use crate::instance::{Instance, Readiness};

/// Returns the state of the instance.
pub fn describe(instance: &Instance) -> StatusResponse {
    let readiness = instance.readiness();
    let is_ready = readiness == Readiness::Ready;
    let servers = instance.directory.all();
    let uptime = instance.clock.now().duration_since(instance.started_at);
    StatusResponse {
        instance: instance.settings.instance.clone(),
        zone: instance.settings.zone.clone(),
        ready: is_ready,
        reasons: if is_ready { Vec::new() } else { vec![readiness.to_string().into()] },
        draining: instance.is_draining(),
        config_version: instance
            .active_configuration()
            .map(|active_configuration| active_configuration.version),
        running: instance.home.registry().live().len() as u64,
        live_instances: instance.home_chooser.instance_count() as u64,
        live_servers: servers.iter().filter(|server| server.is_live).count() as u64,
        dropped_events: instance.journal.dropped(),
        uptime_ms: uptime.as_millis() as u64,
    }
}

/// Returns the active configuration.
pub fn configuration(instance: &Instance) -> Result<ConfigResponse, ErrorResponse> {
    let Some(active_configuration) = instance.active_configuration() else {
        let message = "the instance has not learned any configuration yet";
        return Err(ErrorResponse::new(ErrorCode::NotReady, message));
    };
    Ok(ConfigResponse {
        version: active_configuration.version,
        document: active_configuration.document.clone(),
    })
}
