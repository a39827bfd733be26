//! Decides which workspace a caller belongs to, without any I/O.
//!
//! [`Workspaces`] holds the workspaces of a configuration and finds the one that a key belongs to.

mod workspace;

pub use self::workspace::{LimitUnit, TokenLimit, Workspace, WorkspaceError, Workspaces};
