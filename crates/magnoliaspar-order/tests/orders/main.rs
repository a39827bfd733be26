//! Tests of orders and leases.

mod common;
mod leases;
mod reconciliation;
mod restored_leases;
mod stale_leases;
