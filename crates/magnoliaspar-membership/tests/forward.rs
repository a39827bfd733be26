//! Leaving is never reverted within one incarnation, despite lost, late and repeated messages,
//! pauses and restarts.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{Cluster, instance, server, server_id};
use magnoliaspar_core::{Incarnation, InstanceName};
use magnoliaspar_membership::{ListScope, MemberId, MemberState, Membership};
use magnoliaspar_store::{ListEntry, ListState};
use proptest::prelude::{ProptestConfig, Strategy, any, prop_oneof, proptest};
use proptest::test_runner::RngSeed;

const INSTANCES: usize = 7;
const SERVERS: usize = 4;

#[derive(Debug, Clone)]
enum Step {
    /// The platform announces the end of a server.
    AnnounceEnd { server: usize },
    /// The platform replaces a server by its next incarnation.
    Replace { server: usize },
    /// An instance reads the platform's list as it was `lag` changes ago.
    Read { instance: usize, lag: usize },
    /// An operator drains a server or reverts the drain.
    Drain { instance: usize, server: usize, is_undrain: bool },
    /// Enough probes of a server succeed or fail to change its health.
    Probe { instance: usize, server: usize, is_ok: bool },
    /// An instance pauses or resumes.
    Pause { instance: usize },
    /// An instance restarts and loses its state.
    Restart { instance: usize },
    /// Time passes.
    Wait { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let (instance, server) = (0..INSTANCES, 0..SERVERS);
    prop_oneof![
        server.clone().prop_map(|server| Step::AnnounceEnd { server }),
        server.clone().prop_map(|server| Step::Replace { server }),
        (instance.clone(), 0..4_usize).prop_map(|(instance, lag)| Step::Read { instance, lag }),
        (instance.clone(), server.clone(), any::<bool>()).prop_map(
            |(instance, server, is_undrain)| Step::Drain { instance, server, is_undrain }
        ),
        (instance.clone(), server, any::<bool>())
            .prop_map(|(instance, server, is_ok)| Step::Probe { instance, server, is_ok }),
        instance.clone().prop_map(|instance| Step::Pause { instance }),
        instance.prop_map(|instance| Step::Restart { instance }),
        (100..9000_u64).prop_map(|millis| Step::Wait { millis }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 120,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(43),
        max_shrink_iters: 50,
        ..ProptestConfig::default()
    })]

    #[test]
    fn leaving_never_becomes_live_in_one_incarnation(
        seed in any::<u64>(),
        loss in 0.0..0.5_f64,
        steps in proptest::collection::vec(step(), 10..50),
    ) {
        let mut world = World::new(seed, loss);
        for step in &steps {
            world.apply(step);
            world.check();
        }
        world.heal();
        world.check();
        world.check_agreement();
    }
}

/// A zone, the platform's lists over time, and the states that each instance has had.
struct World {
    cluster: Cluster,
    lists: Vec<Vec<ListEntry>>,
    /// Last drain epoch of each incarnation on each instance, or `u64::MAX` if the end of the
    /// incarnation is announced.
    seen_progress: BTreeMap<(InstanceName, MemberId, Incarnation), u64>,
    last_incarnation: u64,
}

impl World {
    fn new(seed: u64, loss: f64) -> Self {
        let mut cluster = Cluster::new(&["a"], INSTANCES, SERVERS, seed);
        cluster.loss = loss;
        let lists = vec![cluster.list.clone()];
        Self { cluster, lists, seen_progress: BTreeMap::new(), last_incarnation: 1 }
    }

    fn apply(&mut self, step: &Step) {
        let now = self.cluster.now;
        match step {
            Step::AnnounceEnd { server } => self.change_list(*server, |entry| {
                entry.state = ListState::Leaving;
            }),
            Step::Replace { server: index } => self.change_list(*index, |entry| {
                let incarnation = entry.incarnation.0 + 1;
                *entry = server(&entry.name.clone(), "a", incarnation);
            }),
            Step::Read { instance, lag } => {
                let list = self.lists[self.lists.len().saturating_sub(1 + lag)].clone();
                self.membership(*instance).merge_platform_list(now, &list, &ListScope::All);
            }
            Step::Drain { instance, server, is_undrain: false } => {
                let _ = self.membership(*instance).drain(now, &id(*server));
            }
            Step::Drain { instance, server, is_undrain: true } => {
                let _ = self.membership(*instance).undrain(now, &id(*server));
            }
            Step::Probe { instance, server, is_ok } => {
                let MemberId::Server(name) = id(*server) else { unreachable!() };
                for _ in 0..3 {
                    self.membership(*instance).probe_result(now, &name, *is_ok);
                }
            }
            Step::Pause { instance } => {
                let name = name(*instance);
                if !self.cluster.down.remove(&name) {
                    self.cluster.down.insert(name);
                }
            }
            Step::Restart { instance: index } => self.restart(*index),
            Step::Wait { millis } => self.cluster.run(Duration::from_millis(*millis)),
        }
    }

    fn restart(&mut self, index: usize) {
        let name = name(index);
        self.seen_progress.retain(|(instance, _, _), _| *instance != name);
        self.last_incarnation += 1;
        self.cluster.start(instance(name.as_str(), "a", self.last_incarnation), true);
    }

    fn change_list(&mut self, server: usize, change: impl Fn(&mut ListEntry)) {
        let id = id(server);
        let mut list = self.lists.last().unwrap().clone();
        let entry = list.iter_mut().find(|entry| *entry.name == *id.as_str()).unwrap();
        change(entry);
        self.lists.push(list);
    }

    /// Checks that no instance reverted an end or a drain epoch within one incarnation.
    fn check(&mut self) {
        for (name, instance) in &self.cluster.instances {
            for (id, member) in instance.membership.members() {
                let standing = member.standing;
                let key = (name.clone(), id.clone(), standing.incarnation);
                // An even epoch means no drain. An announced end counts above every epoch.
                let progress = if standing.is_leaving { u64::MAX } else { standing.drain_epoch };
                let before = self.seen_progress.insert(key, progress).unwrap_or(0);
                assert!(progress >= before, "{name} reverted the end of {id}");
                if progress == u64::MAX || progress % 2 == 1 {
                    assert!(member.state() >= MemberState::Leaving);
                }
            }
        }
    }

    /// Ends all faults, lets one instance read the newest list, and waits for convergence.
    fn heal(&mut self) {
        self.cluster.loss = 0.0;
        self.cluster.down.clear();
        let list = self.lists.last().unwrap().clone();
        let now = self.cluster.now;
        self.membership(0).merge_platform_list(now, &list, &ListScope::All);
        self.cluster.run(Duration::from_secs(25));
    }

    fn check_agreement(&self) {
        let first = &self.cluster.instances[&name(0)].membership;
        for (name, instance) in &self.cluster.instances {
            for index in 0..SERVERS {
                let (ours, theirs) =
                    (instance.membership.member(&id(index)), first.member(&id(index)));
                let (ours, theirs) = (ours.unwrap().standing, theirs.unwrap().standing);
                assert_eq!(ours, theirs, "{name} and the first instance differ");
            }
        }
        for (index, entry) in self.lists.last().unwrap().iter().skip(INSTANCES).enumerate() {
            if entry.state == ListState::Leaving {
                assert!(first.state_of(&id(index)).unwrap() >= MemberState::Leaving);
            }
        }
    }

    fn membership(&mut self, index: usize) -> &mut Membership {
        &mut self.cluster.instances.get_mut(&name(index)).unwrap().membership
    }
}

fn id(server: usize) -> MemberId {
    server_id(&format!("s-a-{server:04}"))
}

fn name(instance: usize) -> InstanceName {
    InstanceName::try_from(format!("i-a-{instance:03}").as_str()).unwrap()
}
