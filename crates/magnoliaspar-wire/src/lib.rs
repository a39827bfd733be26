//! The messages and services of the protocol between instances, as code generated from
//! `proto/peer.proto`.

/// The messages and services of the package `magnoliaspar.peer.v1`.
#[allow(missing_docs, clippy::all, unreachable_pub)]
#[rustfmt::skip]
pub mod peer {
    include!("generated/magnoliaspar.peer.v1.rs");
}
