//! The checked declarations of routes, pools and workspaces.
//!
//! [`DeclarationFiles`] reads the files that operators write; a [`Document`] is what is stored and
//! sent, and [`Declarations`] are made from it by `TryFrom`, with the same checks.

mod check;
mod declarations;
mod document;
mod files;
mod read;
mod route;

pub use self::declarations::{Declarations, KeyDigest, Pool, PoolKind, Workspace};
pub use self::document::{Document, DocumentDelta, EntityId, EntityKind};
pub use self::files::{Checked, DeclarationFiles};
pub use self::route::{
    CompletionRoute, RepeatRule, Route, RouteLimits, RouteTarget, RouteWeights, ServiceRoute,
    WaitRule,
};
