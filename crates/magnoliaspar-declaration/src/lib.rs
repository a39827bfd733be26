//! The declarations of routes, pools and workspaces, and their checks.
//!
//! [`DeclarationFiles`] reads the files that operators write. A [`Document`] is the form that is
//! stored and sent; it is converted to [`Declarations`] by `TryFrom`, with the same checks.

mod check;
mod declarations;
mod document;
mod files;
mod read;
mod route;

pub use self::declarations::{Declarations, KeyDigest, Pool, PoolKind, Workspace};
pub use self::document::{Document, DocumentDelta, EntityId, EntityKind};
pub use self::files::{CheckedDeclarations, DeclarationFiles};
pub use self::route::{
    CompletionRoute, RepeatRule, Route, RouteLimits, RouteTarget, RouteWeights, ServiceRoute,
    WaitRule,
};
