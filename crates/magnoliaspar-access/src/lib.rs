//! Decides which workspace a caller belongs to, without any I/O.
//!
//! [`Credentials`] are read from a request. [`Workspaces`] holds the workspaces of a configuration and finds the one
//! that a key belongs to.
//! [`Freshness`] tells for how long the instance can be sure that no newer configuration has revoked a key.

mod credentials;
mod freshness;
mod path;
mod workspace;

pub use self::credentials::Credentials;
pub use self::freshness::{ConfigurationMark, Freshness, ProofReport, Revocation};
pub use self::path::has_parent_segment;
pub use self::workspace::{LimitUnit, TokenLimit, Workspace, WorkspaceError, Workspaces};
