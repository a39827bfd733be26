//! The checked declarations, with pools, workspaces and key digests.

use std::collections::BTreeMap;
use std::fmt;

use magnoliaspar_core::{PoolName, RouteName, WorkspaceName};
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};

use crate::{CompletionRoute, Route, RouteTarget, ServiceRoute};

/// All checked declarations of a deployment.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Declarations {
    /// The pools of backend servers.
    pub pools: BTreeMap<PoolName, Pool>,
    /// The routes.
    pub routes: BTreeMap<RouteName, Route>,
    /// The workspaces.
    pub workspaces: BTreeMap<WorkspaceName, Workspace>,
}

impl Declarations {
    /// Returns the workspace that a caller's key belongs to.
    pub fn workspace_of_key(&self, key: &str) -> Option<(&WorkspaceName, &Workspace)> {
        let digest = KeyDigest::of(key);
        for (name, workspace) in &self.workspaces {
            if workspace.keys.contains(&digest) {
                return Some((name, workspace));
            }
        }
        None
    }

    /// Returns the completion route for the model field `name` of a request.
    ///
    /// The name of a route takes precedence; the name of a model selects its route if there is
    /// only one.
    pub fn route_of_model(&self, name: &str) -> Option<(&RouteName, &Route, &CompletionRoute)> {
        let mut found = None;
        let mut is_only = true;
        for (route_name, route) in &self.routes {
            let RouteTarget::Completion(target) = &route.target else { continue };
            if route_name.as_str() == name {
                return Some((route_name, route, target));
            }
            if target.model.as_str() == name {
                is_only &= found.is_none();
                found = Some((route_name, route, target));
            }
        }
        found.filter(|_| is_only)
    }

    /// Returns the service route with the longest matching prefix of `path`, in whole segments.
    pub fn route_of_path(&self, path: &str) -> Option<(&RouteName, &Route, &ServiceRoute)> {
        let mut found: Option<(&RouteName, &Route, &ServiceRoute)> = None;
        for (name, route) in &self.routes {
            let RouteTarget::Service(target) = &route.target else { continue };
            let Some(rest) = path.strip_prefix(&*target.prefix) else { continue };
            if !rest.is_empty() && !rest.starts_with(['/', '?']) {
                continue;
            }
            if found.is_none_or(|(.., best)| best.prefix.len() < target.prefix.len()) {
                found = Some((name, route, target));
            }
        }
        found
    }
}

/// A pool of backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    /// The kind of servers in the pool.
    pub kind: PoolKind,
    /// True if the servers refuse orders with an outdated fencing token.
    pub is_fencing: bool,
}

/// The kind of servers in a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PoolKind {
    /// Prefill engines.
    Prefill,
    /// Decode engines.
    Decode,
    /// Servers of a service that is not a model engine.
    Service,
}

impl fmt::Display for PoolKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
            Self::Service => "service",
        })
    }
}

/// A workspace: the tenant of the callers that authenticate with one of its keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// The share of capacity relative to other workspaces; at least 1.
    pub share: u32,
    /// Maximum number of requests of the workspace in progress on one instance.
    pub concurrency: u32,
    /// The digests of the keys that authenticate its callers.
    pub keys: Box<[KeyDigest]>,
}

/// The SHA-256 digest of a caller's key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyDigest(pub [u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Parses a digest of 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        let digits = text.as_bytes();
        let mut digest = [0; 32];
        if digits.len() != 2 * digest.len() {
            return None;
        }
        for (byte, pair) in digest.iter_mut().zip(digits.chunks_exact(2)) {
            let high = char::from(pair[0]).to_digit(16)?;
            let low = char::from(pair[1]).to_digit(16)?;
            *byte = u8::try_from(high << 4 | low).ok()?;
        }
        Some(Self(digest))
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = Box::<str>::deserialize(deserializer)?;
        Self::from_hex(&text)
            .ok_or_else(|| D::Error::custom("not a digest of 64 hexadecimal digits"))
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::{Declarations, KeyDigest};
    use crate::{Document, EntityId};

    #[test]
    fn a_digest_is_parsed_from_its_text() {
        let digest = KeyDigest::of("key");
        assert_eq!(KeyDigest::from_hex(&digest.to_string()), Some(digest));
        assert_eq!(KeyDigest::from_hex("12"), None);
        assert_eq!(KeyDigest::from_hex(&"g".repeat(64)), None);
    }

    #[test]
    fn routes_are_found_by_path_and_model() {
        let mut document = Document::default();
        let mut add = |id: &str, value| document.entities.insert(EntityId(id.into()), value);
        add("pools/s", json!({"kind": "service"}));
        add("pools/p", json!({"kind": "prefill"}));
        add("pools/d", json!({"kind": "decode"}));
        for (id, prefix) in [("routes/grants", "/grants"), ("routes/payouts", "/grants/payouts")] {
            add(id, json!({"service": {"prefix": prefix, "pool": "s", "repeat": "lookup"}}));
        }
        for (id, model) in [("routes/a", "one"), ("routes/b", "one"), ("routes/c", "two")] {
            add(
                id,
                json!({"completion": {
                    "model": model, "version": "1", "prefill_pool": "p", "decode_pool": "d",
                }}),
            );
        }
        let declarations = Declarations::try_from(&document).unwrap();
        let by_path = |path| declarations.route_of_path(path).map(|(name, ..)| name.as_str());
        assert_eq!(by_path("/grants/status"), Some("grants"));
        assert_eq!(by_path("/grants?x=1"), Some("grants"));
        assert_eq!(by_path("/grants/payouts/7"), Some("payouts"));
        assert_eq!(by_path("/grantsx"), None);
        let by_model = |name| declarations.route_of_model(name).map(|(name, ..)| name.as_str());
        assert_eq!(by_model("a"), Some("a"));
        assert_eq!(by_model("two"), Some("c"));
        assert_eq!(by_model("one"), None);
        assert_eq!(by_model("grants"), None);
    }
}
