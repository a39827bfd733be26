//! Probes backend servers for liveness.

use std::rc::Rc;
use std::time::Duration;

use magnoliaspar_core::ServerName;
use magnoliaspar_engine::EngineConnector;
use magnoliaspar_membership::MemberId;
use magnoliaspar_store::{ListedKind, ServerRole};
use tokio::net::TcpStream;

use super::state::ClusterState;

/// Interval between two probes of a server.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// Probes the servers that are assigned to this instance, forever.
pub async fn probe_servers(cluster: Rc<ClusterState>, connector: Rc<dyn EngineConnector>) {
    loop {
        tokio::time::sleep(PROBE_PERIOD).await;
        let servers = cluster.membership.borrow().probes();
        for server in servers {
            actix_rt::spawn(probe(cluster.clone(), connector.clone(), server));
        }
    }
}

async fn probe(cluster: Rc<ClusterState>, connector: Rc<dyn EngineConnector>, name: ServerName) {
    let id = MemberId::Server(name.clone());
    let Some(entry) = cluster.membership.borrow().member(&id).map(|member| member.entry.clone())
    else {
        return;
    };
    let is_service = matches!(entry.kind, ListedKind::Server { role: ServerRole::Service, .. });
    let answered = tokio::time::timeout(PROBE_TIMEOUT, async {
        if is_service {
            return TcpStream::connect(entry.address).await.is_ok();
        }
        connector.connect(entry.address).status().await.is_ok()
    });
    let is_ok = answered.await.unwrap_or(false);
    let changes = cluster.membership.borrow_mut().probe_result(cluster.clock.now(), &name, is_ok);
    cluster.apply_membership_changes(&changes);
}
