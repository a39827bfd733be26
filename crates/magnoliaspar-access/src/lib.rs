//! Decides which workspace a caller belongs to, without any I/O.
//!
//! [`Credentials`] are read from a request. [`Workspaces`] holds the workspaces of a configuration and finds the one
//! that a key belongs to.

mod credentials;
mod workspace;

pub use self::credentials::Credentials;
pub use self::workspace::{LimitUnit, TokenLimit, Workspace, WorkspaceError, Workspaces};
