//! Orders and leases hold their promises.

mod common;
mod leases;
mod old_leases;
mod promises;
