//! Tests of servers that are cordoned and uncordoned again.

mod common;

use magnoliaspar_policy::{Policy, Role};

use self::common::{Harness, job, prefill_of, spec};

#[test]
fn an_uncordoned_server_gets_work_again() {
    let mut harness = Harness::new(0, 1);
    let server = harness.add(spec(Role::Prefill, "p-1", "zone-a"));
    harness.scheduler.cordon_server(harness.now, server);
    let waiting = harness.submit(job(harness.now));
    assert_eq!(prefill_of(&harness.poll(), waiting), None);
    harness.scheduler.uncordon_server(harness.now, server);
    assert_eq!(prefill_of(&harness.poll(), waiting), Some(server));
}
