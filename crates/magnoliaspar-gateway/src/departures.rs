//! Departures of servers that peers tell an instance that has just started.
//!
//! A restored store returns entries of servers that have left. An instance that has followed the store knows their
//! departures; one that started after them takes such an entry for that of a live server, unless its peers tell.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use magnoliaspar_core::Epoch;
use serde::{Deserialize, Serialize};

use crate::copy::fetch_departures;
use crate::entry_age::EntryStamp;
use crate::gateway::Gateway;
use crate::peers::Peers;
use crate::reservations::InstanceId;

/// Maximum age of a restore for which instances tell departures. By then the platform has removed the entries of
/// servers that are gone.
pub const MAX_RESTORE_AGE: Duration = Duration::from_secs(20);

/// Uptime after which an instance knows all departures since the copy that a store is restored from.
const MAX_COPY_AGE: Duration = Duration::from_secs(60);

/// A server whose last entry was removed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Departure {
    /// Address at which the server accepted requests.
    pub address: SocketAddr,
    /// What orders its last entry.
    pub stamp: EntryStamp,
    /// Whether the process had said that it drains or leaves.
    pub is_draining: bool,
}

/// Which departures an instance knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeparturesMark {
    /// Epoch of the store in which the instance has read the list of servers last.
    pub epoch: Epoch,
    /// Number of departed servers that it knows.
    pub departures: usize,
}

/// Requests the departures of servers from peers after a restore of the store, until the instance has run for long
/// enough to know them itself.
///
/// A peer that has just started, too, may know less than others, so that each one is asked, and asked again once it
/// has learned more.
pub async fn learn_departures(gateway: Rc<Gateway>, peers: Rc<Peers>) {
    let mut known: BTreeMap<InstanceId, DeparturesMark> = BTreeMap::new();
    while gateway.uptime() < MAX_COPY_AGE {
        let is_known = |peer: &str, mark: &DeparturesMark| known.get(peer) == Some(mark);
        let source = gateway.with_rng(|rng| peers.source_of_departures(is_known, rng));
        let Some(source) = source else {
            peers.wait_for_report().await;
            continue;
        };
        let Some(departures) = fetch_departures(&gateway, &peers, &source).await else { continue };
        let Some(mark) = source.reported.departures_mark() else { continue };
        let (peer, epoch, count) = (&*source.instance, mark.epoch.0, departures.len());
        log::info!(peer, epoch, count; "departures_learned");
        known.insert(source.instance.clone(), mark);
        gateway.apply_departures(departures);
    }
}
