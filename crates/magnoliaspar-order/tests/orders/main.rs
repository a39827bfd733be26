//! Tests of orders and leases.

mod common;
mod leases;
mod reconciliation;
mod stale_leases;
