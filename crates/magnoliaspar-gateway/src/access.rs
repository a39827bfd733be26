//! Decides whether a caller may use a route, and for which workspace.
//!
//! Where keys are revoked strictly, an instance accepts keys only while it can prove that its configuration was the
//! newest one shortly before, see [`Freshness`](magnoliaspar_access::Freshness).

use std::rc::Rc;
use std::time::Duration;

use magnoliaspar_access::{
    ConfigurationMark, Credentials, ProofReport, Workspace, has_parent_segment,
};

use crate::gateway::Gateway;
use crate::refusal::Refusal;
use crate::revisions::FeedRevisions;
use crate::route::{Route, Routing};

/// Time beyond the maximum age of a proof after which an instance that is cut off from most others is not ready.
const UNREADY_DELAY: Duration = Duration::from_secs(1);

/// Minimum time between two checks of the age of a proof.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// Returns the workspace that a caller belongs to; `None` on a route that needs no key.
///
/// The request has to have arrived whole: what its caller sent before a key was revoked may run. On a route that needs
/// no key, a path needs one that the server may read as that of another route.
pub fn authenticate(
    gateway: &Gateway,
    routing: &Routing,
    route: &Route,
    path: &str,
    credentials: Credentials,
) -> Result<Option<Rc<Workspace>>, Refusal> {
    let is_anonymous = route.is_anonymous && !has_parent_segment(path);
    let Some(workspaces) = routing.workspaces.as_ref().filter(|_| !is_anonymous) else {
        return Ok(None);
    };
    let Credentials::Key(digest) = credentials else { return Err(Refusal::NoKey) };
    let revocation = gateway.settings().revocation;
    let is_proven = is_proven(gateway, revocation.max_proof_age());
    match workspaces.of_key(&digest) {
        Some(_) if revocation.is_strict && !is_proven => Err(Refusal::ConfigurationUnproven),
        Some(workspace) => Ok(Some(workspace.clone())),
        // A newer configuration may hold the key.
        None if !is_proven || is_behind(gateway, routing) => Err(Refusal::ConfigurationOutdated),
        None => Err(Refusal::UnknownKey),
    }
}

/// Returns the refusal of a request that no route matches.
pub fn refuse_unrouted(gateway: &Gateway) -> Refusal {
    // The configuration that cannot be read may have a route.
    match gateway.freshness.borrow().has_unreadable() {
        true => Refusal::ConfigurationOutdated,
        false => Refusal::NoRoute,
    }
}

/// Returns whether there is a newer configuration: a peer has one, or the store holds one that this instance cannot
/// read.
fn is_behind(gateway: &Gateway, routing: &Routing) -> bool {
    let newest = gateway.peers().and_then(|peers| peers.newest_version());
    let has_unreadable = gateway.freshness.borrow().has_unreadable();
    has_unreadable || newest.is_some_and(|(version, _)| version > routing.version)
}

/// Returns whether callers are only served with a proof.
fn needs_proof(gateway: &Gateway) -> bool {
    let has_keys = gateway.routing().is_some_and(|routing| routing.workspaces.is_some());
    has_keys && gateway.settings().revocation.is_strict
}

/// Returns the age of the last proof; `None` if there is none.
pub fn proof_age(gateway: &Gateway) -> Option<Duration> {
    gateway.freshness.borrow().age(gateway.clock.since_boot())
}

fn is_proven(gateway: &Gateway, max_age: Duration) -> bool {
    gateway.freshness.borrow().is_proven(gateway.clock.since_boot(), max_age)
}

/// Returns whether callers of workspaces are better served elsewhere: this instance can accept no keys, and most other
/// instances are out of reach. If most are in reach, they have no proof either.
pub fn is_isolated(gateway: &Gateway) -> bool {
    let max_age = gateway.settings().revocation.max_proof_age() + UNREADY_DELAY;
    if !needs_proof(gateway) || is_proven(gateway, max_age) {
        return false;
    }
    let now = gateway.clock.now();
    gateway.peers().is_some_and(|peers| 2 * peers.present(now) <= peers.known(now))
}

/// Returns what orders the configuration in force.
fn own_mark(gateway: &Gateway) -> ConfigurationMark {
    let version = gateway.routing().map_or(0, |routing| routing.version);
    ConfigurationMark { version, epoch: gateway.configuration_epoch() }
}

/// Records that the configuration in force was the newest one when a call to the store was sent.
///
/// A store that lags behind answers without a change that a peer already has: its answer proves nothing.
pub fn record_proof(gateway: &Gateway, called: Duration) {
    let own = own_mark(gateway);
    let newest = gateway.peers().and_then(|peers| peers.newest_version());
    let version = newest.map_or(own.version, |(version, _)| version.max(own.version));
    gateway.freshness.borrow_mut().record(own, ConfigurationMark { version, ..own }, called);
}

/// Waits until a proof is needed soon that no other instance has passed on. While the store holds a configuration that
/// cannot be read, no call brings one.
pub async fn wait_until_unproven(gateway: &Gateway) {
    loop {
        let refresh_age = gateway.settings().revocation.refresh_age();
        let left = refresh_age.saturating_sub(proof_age(gateway).unwrap_or(refresh_age));
        let has_unreadable = gateway.freshness.borrow().has_unreadable();
        if left.is_zero() && needs_proof(gateway) && !has_unreadable {
            return;
        }
        tokio::time::sleep(left.max(REFRESH_INTERVAL)).await;
    }
}

/// Logs when the last proof becomes too old to accept keys, and when there is one again.
pub fn report_proof_state(gateway: &Gateway) {
    let age_ms = proof_age(gateway).map(|age| age.as_millis() as u64);
    gateway.metrics.proof_age_ms.set(age_ms.map_or(-1, |age_ms| age_ms as i64));
    let max_age = gateway.settings().revocation.max_proof_age();
    let is_missing = needs_proof(gateway) && !is_proven(gateway, max_age);
    if gateway.lacks_proof.replace(is_missing) == is_missing {
        return;
    }
    let version = gateway.routing().map_or(0, |routing| routing.version);
    match is_missing {
        true => log::warn!(version, age_ms:?; "configuration_unproven"),
        false => log::info!(version, age_ms:?; "configuration_proven"),
    }
}

/// Returns the number of a question to other instances for their proofs.
pub fn ask(gateway: &Gateway) -> Option<u64> {
    Some(gateway.freshness.borrow_mut().ask(gateway.clock.since_boot()))
}

/// Returns the proof that other instances get.
pub fn report_proof(gateway: &Gateway) -> Option<ProofReport> {
    gateway.freshness.borrow().report(own_mark(gateway), gateway.clock.since_boot())
}

/// Applies the proof of an instance that has answered a question.
pub fn apply_proof(gateway: &Gateway, revisions: &FeedRevisions) {
    let (Some(question), Some(report)) = (revisions.question, revisions.proof) else { return };
    gateway.freshness.borrow_mut().apply(own_mark(gateway), question, report);
}
