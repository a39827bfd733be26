//! Servers that are sealed and opened again.

mod common;

use magnoliaspar_policy::{Policy, Role};

use self::common::{Bench, job, prefill_of, spec};

#[test]
fn a_server_gets_work_again_once_it_is_opened() {
    let mut bench = Bench::new(0, 1);
    let server = bench.add(spec(Role::Prefill, "p-1", "zone-a"));
    bench.scheduler.cordon_server(bench.now, server);
    let waiting = bench.submit(job(bench.now));
    assert_eq!(prefill_of(&bench.poll(), waiting), None);
    bench.scheduler.uncordon_server(bench.now, server);
    assert_eq!(prefill_of(&bench.poll(), waiting), Some(server));
}
