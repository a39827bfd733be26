//! The reaper frees all orphaned streams and no others, despite random faults.

mod common;

use std::time::Duration;

use common::{INSTANCES, World};
use proptest::prelude::{ProptestConfig, Strategy, any, prop_oneof, proptest};
use proptest::test_runner::RngSeed;

#[derive(Debug, Clone)]
enum Step {
    /// An instance opens a stream under an identifier that may have been used before.
    Open { instance: usize, id: u64 },
    /// A stream ends normally.
    Finish { id: u64 },
    /// An instance gives up a stream, and its cancel request is lost.
    Leak { id: u64 },
    /// An instance hands a stream over to another.
    HandOver { id: u64, to: usize },
    /// An instance takes over a stream whose instance has died.
    TakeOver { id: u64, by: usize },
    /// An instance dies.
    Kill { instance: usize },
    /// A dead instance starts again under its name.
    Start { instance: usize },
    /// The connection between two instances breaks, or comes back.
    Cut { one: usize, other: usize },
    /// The server restarts.
    RestartServer,
    /// Another instance becomes the home of the server, as one instance sees it.
    MoveHome { seen_by: usize, home: usize },
    /// Time passes.
    Wait { seconds: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let (instance, id) = (0..INSTANCES, 0..12_u64);
    let pair = (instance.clone(), instance.clone());
    prop_oneof![
        6 => (instance.clone(), id.clone()).prop_map(|(instance, id)| Step::Open { instance, id }),
        2 => id.clone().prop_map(|id| Step::Finish { id }),
        1 => id.clone().prop_map(|id| Step::Leak { id }),
        1 => (id.clone(), instance.clone()).prop_map(|(id, to)| Step::HandOver { id, to }),
        2 => (id, instance.clone()).prop_map(|(id, by)| Step::TakeOver { id, by }),
        1 => instance.clone().prop_map(|instance| Step::Kill { instance }),
        1 => instance.prop_map(|instance| Step::Start { instance }),
        2 => pair.clone().prop_map(|(one, other)| Step::Cut { one, other }),
        1 => proptest::strategy::Just(Step::RestartServer),
        1 => pair.prop_map(|(seen_by, home)| Step::MoveHome { seen_by, home }),
        6 => (1..90_u64).prop_map(|seconds| Step::Wait { seconds }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(53),
        max_shrink_iters: 2000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn all_orphans_and_only_orphans_are_freed(
        seed in any::<u64>(),
        loss in 0.0..0.3_f64,
        steps in proptest::collection::vec(step(), 20..120),
    ) {
        let mut world = World::new(seed, loss);
        for step in &steps {
            apply(&mut world, step);
        }
        world.heal();
        world.run(Duration::from_secs(300));
        world.check_no_orphans();
    }
}

fn apply(world: &mut World, step: &Step) {
    match step {
        Step::Open { instance, id } => world.open(*instance, *id),
        Step::Finish { id } => world.finish(*id),
        Step::Leak { id } => {
            world.leak(*id);
        }
        Step::HandOver { id, to } => world.hand_over(*id, *to),
        Step::TakeOver { id, by } => world.take_over(*id, *by),
        Step::Kill { instance } => world.kill(*instance),
        Step::Start { instance } => world.start(*instance),
        Step::Cut { one, other } => world.toggle_link(*one, *other),
        Step::RestartServer => world.restart_server(),
        Step::MoveHome { seen_by, home } => world.move_home(*seen_by, *home),
        Step::Wait { seconds } => world.run(Duration::from_secs(*seconds)),
    }
}

#[test]
fn an_owner_that_is_only_unreachable_keeps_its_streams() {
    let mut world = World::new(1, 0.0);
    world.open(2, 1);
    world.run(Duration::from_secs(40));
    world.toggle_link(0, 2);
    world.toggle_link(1, 2);
    world.run(Duration::from_secs(45));
    assert_eq!(world.held(), 1);
}

#[test]
fn streams_of_a_dead_owner_are_freed_once_its_lease_ran_out() {
    let mut world = World::new(1, 0.0);
    world.open(2, 1);
    world.run(Duration::from_secs(40));
    world.keep_on_list(2);
    world.kill(2);
    world.run(Duration::from_secs(50));
    assert_eq!(world.held(), 1);
    world.run(Duration::from_secs(60));
    assert_eq!(world.held(), 0);
}
