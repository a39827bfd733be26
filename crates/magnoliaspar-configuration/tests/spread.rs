//! The configuration never reverts, despite lost, late and repeated messages, restarts and network
//! partitions.

mod common;

use std::time::{Duration, Instant};

use common::{Cluster, INSTANCES};
use magnoliaspar_configuration::{ReaderConfig, ReaderSchedule};
use magnoliaspar_core::{InstanceName, ZoneName};
use proptest::prelude::{ProptestConfig, Strategy, any, prop_oneof, proptest};
use proptest::test_runner::RngSeed;

/// Maximum time until all instances have an accepted version.
const SPREAD_LIMIT: Duration = Duration::from_secs(19);

#[derive(Debug, Clone)]
enum Step {
    /// An operator proposes a change at an instance, based on its version or `lag` versions before.
    Propose { instance: usize, value: u64, lag: u64 },
    /// An operator sends the last proposal again, at another instance.
    Resend { instance: usize },
    /// Random faults of the platform begin or end.
    Faults { is_on: bool },
    /// The connection of an instance to the platform breaks, or comes back.
    TogglePlatform { instance: usize },
    /// The connection between two zones breaks, or comes back.
    ToggleZones { one: usize, other: usize },
    /// An instance restarts and loses its state, with the platform reachable or not.
    Restart { instance: usize, is_cut: bool },
    /// Time passes.
    Wait { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES;
    prop_oneof![
        3 => (instance.clone(), any::<u64>(), 0..2_u64)
            .prop_map(|(instance, value, lag)| Step::Propose { instance, value, lag }),
        1 => instance.clone().prop_map(|instance| Step::Resend { instance }),
        1 => any::<bool>().prop_map(|is_on| Step::Faults { is_on }),
        1 => instance.clone().prop_map(|instance| Step::TogglePlatform { instance }),
        1 => (0..3_usize, 0..3_usize).prop_map(|(one, other)| Step::ToggleZones { one, other }),
        2 => (instance, any::<bool>())
            .prop_map(|(instance, is_cut)| Step::Restart { instance, is_cut }),
        3 => (100..6000_u64).prop_map(|millis| Step::Wait { millis }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(47),
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    })]

    #[test]
    fn versions_never_decrease_and_identify_one_document(
        seed in any::<u64>(),
        loss in 0.0..0.3_f64,
        steps in proptest::collection::vec(step(), 10..60),
    ) {
        actix_rt::System::new().block_on(async {
            let mut cluster = Cluster::new(seed, loss);
            for step in &steps {
                apply(&mut cluster, step).await;
                cluster.check();
            }
            cluster.heal();
            cluster.run(SPREAD_LIMIT).await;
            cluster.check_newest();
        });
    }
}

async fn apply(cluster: &mut Cluster, step: &Step) {
    match step {
        Step::Propose { instance, value, lag } => cluster.propose(*instance, *value, *lag).await,
        Step::Resend { instance } => cluster.resend(*instance).await,
        Step::Faults { is_on } => cluster.set_faults(*is_on),
        Step::TogglePlatform { instance } => cluster.toggle_platform(*instance),
        Step::ToggleZones { one, other } => cluster.toggle_zones(*one, *other),
        Step::Restart { instance, is_cut } => {
            cluster.cut_platform(*instance, *is_cut);
            cluster.restart(*instance);
        }
        Step::Wait { millis } => cluster.run(Duration::from_millis(*millis)).await,
    }
}

#[test]
fn a_change_is_in_force_everywhere_within_seconds() {
    actix_rt::System::new().block_on(async {
        let mut cluster = Cluster::new(3, 0.1);
        cluster.run(Duration::from_secs(3)).await;
        cluster.propose(4, 7, 0).await;
        let mut waited = Duration::ZERO;
        while !cluster.is_newest_everywhere() {
            cluster.run(Duration::from_millis(100)).await;
            waited += Duration::from_millis(100);
            assert!(waited < SPREAD_LIMIT);
        }
        println!("in force on {INSTANCES} instances of three zones after {waited:?}");
    });
}

#[test]
fn an_instance_far_behind_receives_the_full_configuration() {
    actix_rt::System::new().block_on(async {
        let mut cluster = Cluster::new(3, 0.0);
        for value in 0..300 {
            cluster.propose(0, value, 0).await;
        }
        assert_eq!(cluster.newest(), 300);
        cluster.run(SPREAD_LIMIT).await;
        cluster.restart(5);
        cluster.run(SPREAD_LIMIT).await;
        cluster.check_newest();
    });
}

#[test]
fn an_instance_that_learns_nothing_is_not_ready() {
    actix_rt::System::new().block_on(async {
        let mut cluster = Cluster::new(5, 0.0);
        cluster.propose(0, 1, 0).await;
        cluster.run(Duration::from_secs(5)).await;
        assert!(cluster.is_ready(8));
        cluster.isolate(8);
        cluster.restart(8);
        cluster.run(Duration::from_secs(60)).await;
        assert!(!cluster.is_ready(8));
        cluster.heal();
        cluster.run(SPREAD_LIMIT).await;
        assert!(cluster.is_ready(8));
    });
}

#[test]
fn a_restarted_instance_waits_for_the_highest_version_of_its_peers() {
    actix_rt::System::new().block_on(async {
        for seed in 0..20 {
            let mut cluster = Cluster::new(seed, 0.0);
            cluster.propose(0, 1, 0).await;
            cluster.run(Duration::from_secs(5)).await;
            cluster.isolate(1);
            cluster.propose(2, 2, 0).await;
            cluster.cut_platform(0, true);
            cluster.restart(0);
            cluster.end_isolation(1);
            // `Cluster::check` asserts that instance 0 is not ready before it has version 2.
            cluster.run(SPREAD_LIMIT).await;
            assert!(cluster.is_ready(0));
        }
    });
}

#[test]
fn readers_of_ten_zones_stay_within_their_read_rate() {
    let start = Instant::now();
    let mut schedules = Vec::new();
    for zone in 0..10 {
        let zone = ZoneName::try_from(format!("z{zone}").as_str()).unwrap();
        let name = |i: usize| InstanceName::try_from(format!("{zone}-{i}").as_str()).unwrap();
        let names: Vec<_> = (0..380).map(name).collect();
        for name in &names {
            let cfg = ReaderConfig::default();
            let mut schedule = ReaderSchedule::new(name.clone(), zone.clone(), cfg, start);
            schedule.elect(start, names.iter());
            schedule.is_due(start);
            schedules.push(schedule);
        }
    }
    let mut reads = 0;
    for step in 1..7200 {
        let now = start + step * Duration::from_millis(500);
        for schedule in &mut schedules {
            reads += u32::from(schedule.is_due(now));
        }
    }
    println!("{} reads a second by 3,800 instances", f64::from(reads) / 3600.0);
    assert!(reads <= 3600 * 15);
}
