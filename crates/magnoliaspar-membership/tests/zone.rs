//! Simulations of whole zones: latency of spreading changes, and control traffic.

mod common;

use std::time::Duration;

use common::{Cluster, instance, instance_id, server_id};
use magnoliaspar_core::{InstanceName, ZoneName};
use magnoliaspar_membership::{MemberId, MemberState, Membership};
use magnoliaspar_store::ListState;
use proptest::prelude::{ProptestConfig, any, proptest};
use proptest::test_runner::RngSeed;

const SECOND: Duration = Duration::from_secs(1);

/// Maximum number of bytes that an instance may send per second, averaged over a window.
const MAX_BYTES_PER_SECOND: u64 = 2000;

/// Maximum time until all instances of a zone know that a server is leaving.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// Runs until the traffic of the startup has ended, and resets the byte counts.
fn finish_startup(cluster: &mut Cluster) {
    cluster.run(10 * SECOND);
    cluster.clear_bytes();
}

fn drain(cluster: &mut Cluster, instance: &str, id: &MemberId) {
    let name = InstanceName::try_from(instance).unwrap();
    let now = cluster.now;
    cluster.instances.get_mut(&name).unwrap().membership.drain(now, id).unwrap();
}

fn max_bytes_per_second(cluster: &Cluster, seconds: u32) -> u64 {
    cluster.bytes().into_iter().max().unwrap() / u64::from(seconds)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 12,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(41),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_leaving_server_is_known_in_the_whole_zone_in_time(
        seed in any::<u64>(),
        instances in 6_usize..80,
        loss in 0.0..0.3_f64,
    ) {
        let mut cluster = Cluster::new(&["a"], instances, 2 * instances, seed);
        finish_startup(&mut cluster);
        cluster.loss = loss;
        let id = server_id("s-a-0003");
        drain(&mut cluster, "i-a-000", &id);
        let leaving = Some(MemberState::Leaving);
        let time = cluster.run_until(4 * SECOND, |c| c.all_have("a", &id, leaving));
        assert!(time <= LEAVING_LIMIT, "{instances} instances, loss {loss}: {time:?}");
    }
}

#[test]
fn a_leaving_server_is_known_in_time_in_a_large_zone() {
    let mut cluster = Cluster::new(&["a"], 400, 1000, 5);
    finish_startup(&mut cluster);
    cluster.loss = 0.1;
    for server in 0..20 {
        drain(&mut cluster, "i-a-007", &server_id(&format!("s-a-{server:04}")));
    }
    let leaving = Some(MemberState::Leaving);
    let is_done = |c: &Cluster| {
        (0..20).all(|server| c.all_have("a", &server_id(&format!("s-a-{server:04}")), leaving))
    };
    let time = cluster.run_until(5 * SECOND, is_done);
    println!("20 leaving servers known by 400 instances after {time:?}");
    assert!(time <= LEAVING_LIMIT, "{time:?}");
}

#[test]
fn control_traffic_stays_within_its_budget() {
    for instances in [6, 25, 100] {
        check_budget(&mut Cluster::new(&["a", "b"], instances, 5 * instances / 2, 7), instances);
    }
}

#[test]
fn control_traffic_stays_within_its_budget_in_a_large_zone() {
    check_budget(&mut Cluster::new(&["a"], 400, 1000, 7), 400);
}

fn check_budget(cluster: &mut Cluster, instances: usize) {
    let window = 15;
    finish_startup(cluster);
    cluster.run(window * SECOND);
    let quiet = max_bytes_per_second(cluster, window);
    cluster.clear_bytes();
    // One change per second is many times the rate of restarts in the largest zone.
    for second in 0..window as usize {
        let id = server_id(&format!("s-a-{:04}", second % (2 * instances)));
        drain(cluster, "i-a-001", &id);
        cluster.run(SECOND);
    }
    let busy = max_bytes_per_second(cluster, window);
    cluster.clear_bytes();
    cluster.loss = 1.0;
    cluster.run(window * SECOND);
    let cut_off = max_bytes_per_second(cluster, window);
    println!("{instances} instances a zone: quiet {quiet}, busy {busy}, cut off {cut_off} B/s");
    assert!(
        quiet <= MAX_BYTES_PER_SECOND
            && busy <= MAX_BYTES_PER_SECOND
            && cut_off <= MAX_BYTES_PER_SECOND
    );
}

#[test]
fn a_dead_instance_is_detected_and_live_ones_stay_live() {
    let mut cluster = Cluster::new(&["a"], 40, 10, 9);
    finish_startup(&mut cluster);
    cluster.loss = 0.1;
    cluster.down.insert(InstanceName::try_from("i-a-017").unwrap());
    let dead = instance_id("i-a-017");
    let time = cluster.run_until(30 * SECOND, |c| c.all_have("a", &dead, Some(MemberState::Dead)));
    println!("a dead instance is known after {time:?}");
    assert!(time < 15 * SECOND);
    cluster.run(60 * SECOND);
    for i in (0..40).filter(|i| *i != 17) {
        assert!(cluster.all_have(
            "a",
            &instance_id(&format!("i-a-{i:03}")),
            Some(MemberState::Live)
        ));
    }
}

#[test]
fn a_paused_instance_comes_back_without_a_new_incarnation() {
    let mut cluster = Cluster::new(&["a"], 12, 10, 11);
    finish_startup(&mut cluster);
    let name = InstanceName::try_from("i-a-004").unwrap();
    let id = instance_id("i-a-004");
    cluster.down.insert(name.clone());
    cluster.run(20 * SECOND);
    assert!(cluster.all_have("a", &id, Some(MemberState::Dead)));
    cluster.down.clear();
    let time = cluster.run_until(30 * SECOND, |c| c.all_have("a", &id, Some(MemberState::Live)));
    println!("a paused instance is live again after {time:?}");
    assert!(time < 15 * SECOND);
}

#[test]
fn an_instance_joins_without_the_platform() {
    let mut cluster = Cluster::new(&["a"], 20, 100, 13);
    finish_startup(&mut cluster);
    drain(&mut cluster, "i-a-002", &server_id("s-a-0050"));
    cluster.run(5 * SECOND);
    cluster.start(instance("i-a-new", "a", 1), false);
    let name = InstanceName::try_from("i-a-new").unwrap();
    let greeting = cluster.instances.get_mut(&name).unwrap().membership.greeting();
    cluster.send(InstanceName::try_from("i-a-000").unwrap(), greeting);
    let id = instance_id("i-a-new");
    let is_done = |c: &Cluster| {
        let joined = &c.instances[&InstanceName::try_from("i-a-new").unwrap()].membership;
        joined.members().count() == 121 && c.all_have("a", &id, Some(MemberState::Live))
    };
    let time = cluster.run_until(30 * SECOND, is_done);
    println!("joined after {time:?}");
    assert!(time < 15 * SECOND);
    let joined = &cluster.instances[&name].membership;
    assert_eq!(joined.state_of(&server_id("s-a-0050")), Some(MemberState::Leaving));
}

#[test]
fn zones_that_were_apart_learn_of_each_other_again() {
    let (a, b) = (ZoneName::try_from("a").unwrap(), ZoneName::try_from("b").unwrap());
    let mut cluster = Cluster::new(&["a", "b"], 9, 14, 17);
    finish_startup(&mut cluster);
    cluster.cut.insert((a.clone(), b.clone()));
    cluster.cut.insert((b.clone(), a.clone()));
    cluster.run(10 * SECOND);
    for server in 0..4 {
        drain(&mut cluster, "i-a-002", &server_id(&format!("s-a-{server:04}")));
    }
    cluster.run(20 * SECOND);
    let live_in_a = |membership: &Membership| {
        let summary = membership.zone_summary(&ZoneName::try_from("a").unwrap()).unwrap();
        summary.servers.values().sum::<u32>()
    };
    let any_b = &cluster.instances[&InstanceName::try_from("i-b-003").unwrap()].membership;
    assert_eq!(live_in_a(any_b), 14);
    cluster.cut.clear();
    let time = cluster.run_until(60 * SECOND, |c| {
        c.instances.values().all(|i| i.zone.as_str() == "a" || live_in_a(&i.membership) == 10)
    });
    println!("the other zone's summary is current after {time:?}");
    assert!(time < 30 * SECOND);
}

#[test]
fn an_outdated_list_does_not_revert_leaving() {
    let mut cluster = Cluster::new(&["a"], 6, 4, 19);
    let id = server_id("s-a-0001");
    let name = InstanceName::try_from("i-a-000").unwrap();
    let live = cluster.list.clone();
    for entry in &mut cluster.list {
        if &*entry.name == "s-a-0001" {
            entry.state = ListState::Leaving;
        }
    }
    let (now, list) = (cluster.now, cluster.list.clone());
    let membership = &mut cluster.instances.get_mut(&name).unwrap().membership;
    let scope = magnoliaspar_membership::ListScope::All;
    membership.merge_platform_list(now, &list, &scope);
    membership.merge_platform_list(now, &live, &scope);
    assert_eq!(membership.state_of(&id), Some(MemberState::Leaving));
    assert!(membership.undrain(now, &id).is_err());
    membership.merge_platform_list(now, &[], &scope);
    assert_eq!(membership.state_of(&id), Some(MemberState::Leaving));
}
