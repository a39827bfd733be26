//! Measures the control cost of one request as pool and queue grow.

#![allow(missing_docs, reason = "the macros of the benchmark library generate functions")]

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use magnoliaspar_bench::{SERVER_COUNTS, SaturatedPool, WAITING_COUNTS};

/// Number of waiting jobs while the number of servers grows.
const FIXED_WAITING: usize = 1_000;

/// Number of servers while the number of waiting jobs grows.
const FIXED_SERVERS: usize = 16;

fn by_servers(c: &mut Criterion) {
    let mut group = c.benchmark_group("servers");
    for servers in SERVER_COUNTS {
        let mut pool = SaturatedPool::new(servers, FIXED_WAITING);
        group.bench_function(BenchmarkId::from_parameter(servers), |b| {
            b.iter(|| black_box(pool.cycle()));
        });
    }
    group.finish();
}

fn by_waiting(c: &mut Criterion) {
    let mut group = c.benchmark_group("waiting");
    for waiting in WAITING_COUNTS {
        let mut pool = SaturatedPool::new(FIXED_SERVERS, waiting);
        group.bench_function(BenchmarkId::from_parameter(waiting), |b| {
            b.iter(|| black_box(pool.cycle()));
        });
    }
    group.finish();
}

criterion_group!(benches, by_servers, by_waiting);
criterion_main!(benches);
