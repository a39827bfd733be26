//! The messages between instances and the code generated for them.

/// The messages and services of the package `magnoliaspar.peer.v1`.
#[allow(missing_docs, clippy::all, unreachable_pub)]
#[rustfmt::skip]
pub mod peer {
    include!("generated/magnoliaspar.peer.v1.rs");
}
