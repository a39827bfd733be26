//! The checked declarations of routes, pools and workspaces.

mod declarations;
mod document;
mod route;

pub use self::declarations::{Declarations, KeyDigest, Pool, PoolKind, Workspace};
pub use self::document::{Document, DocumentDelta, EntityId};
pub use self::route::{
    CompletionRoute, RepeatRule, Route, RouteLimits, RouteTarget, RouteWeights, ServiceRoute,
    WaitRule,
};
