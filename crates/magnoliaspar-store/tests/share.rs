//! Tests that instances stay within the platform's rate limits without coordination.

use std::rc::Rc;
use std::time::Duration;

use magnoliaspar_core::ManualClock;
use magnoliaspar_fake::MemoryTable;
use magnoliaspar_store::{
    Condition, PlatformRates, RateLimitedTable, RowKey, TableService, Transaction, Write,
};
use serde_json::json;

/// The time for which the instances write, in seconds.
const SECONDS: u32 = 120;

/// Counts the writes of `live` instances together if each of them sees `seen` instances.
async fn count_writes(live: u32, seen: u32) -> u64 {
    let clock = Rc::new(ManualClock::new());
    let memory = MemoryTable::new(clock.clone());
    let mut tables = Vec::new();
    for _ in 0..live {
        let inner = Rc::new(memory.clone());
        let table = RateLimitedTable::new(inner, clock.clone(), PlatformRates::default());
        table.set_live_instances(seen);
        tables.push(table);
    }
    let key = RowKey("row".into());
    let write = Write { key, condition: Condition::Always, value: Some(json!({})) };
    let transaction = Transaction { writes: vec![write] };
    for _ in 0..10 * SECONDS {
        clock.advance(Duration::from_millis(100));
        for table in &tables {
            while table.commit(&transaction).await.is_ok() {}
        }
    }
    memory.faults().counts().writes
}

#[actix_rt::test]
async fn instances_share_the_rate_at_several_sizes() {
    for live in [1, 6, 60, 600] {
        let total = PlatformRates::default().writes_per_second * f64::from(SECONDS);
        // The initial burst of each instance adds to the rate.
        let bursts = 2.0 * f64::from(live) + 300.0;
        let exact = count_writes(live, live).await as f64;
        assert!(exact <= total * 0.75 + bursts, "{live} instances wrote {exact}");
        assert!(exact >= total * 0.74, "{live} instances wrote {exact}");
        let undercounted = count_writes(live, (live * 3).div_ceil(4)).await as f64;
        assert!(undercounted <= total + bursts, "{live} instances wrote {undercounted}");
    }
}

#[test]
fn an_instance_without_a_list_has_the_smallest_share() {
    let unknown = PlatformRates::share(300.0, 0);
    assert_eq!(unknown, PlatformRates::share(300.0, u32::MAX));
    assert!(unknown < PlatformRates::share(300.0, 3800));
}
