//! Decides whether a caller may use a route, and for which workspace.

use std::rc::Rc;

use magnoliaspar_access::{Credentials, Workspace};

use crate::gateway::Gateway;
use crate::refusal::Refusal;
use crate::route::{Route, Routing};

/// Returns the workspace that a caller belongs to; `None` on a route that needs no key.
///
/// An unknown key is refused for good only if no newer configuration may hold it.
pub fn authenticate(
    gateway: &Gateway,
    routing: &Routing,
    route: &Route,
    credentials: Credentials,
) -> Result<Option<Rc<Workspace>>, Refusal> {
    let Some(workspaces) = routing.workspaces.as_ref().filter(|_| !route.is_anonymous) else {
        return Ok(None);
    };
    let Credentials::Key(digest) = credentials else { return Err(Refusal::NoKey) };
    match workspaces.of_key(&digest) {
        Some(workspace) => Ok(Some(workspace.clone())),
        None if is_behind(gateway, routing) => Err(Refusal::ConfigurationOutdated),
        None => Err(Refusal::UnknownKey),
    }
}

/// Returns whether a peer has a newer configuration.
fn is_behind(gateway: &Gateway, routing: &Routing) -> bool {
    let newest = gateway.peers().and_then(|peers| peers.newest_version());
    newest.is_some_and(|(version, _)| version > routing.version)
}
