//! Leaving only moves forward, whatever is lost, late, repeated, paused or restarted.

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
    End { server: usize },
    /// The platform replaces a server by a new life of it.
    Replace { server: usize },
    /// An instance reads the list as it was some changes ago.
    Read { instance: usize, lag: usize },
    /// An operator drains a server, or takes a drain back.
    Drain { instance: usize, server: usize, is_back: bool },
    /// A probe of a server succeeds or fails often enough to matter.
    Probe { instance: usize, server: usize, is_ok: bool },
    /// An instance pauses or goes on.
    Pause { instance: usize },
    /// An instance restarts and forgets everything.
    Restart { instance: usize },
    /// Time passes.
    Wait { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let (instance, server) = (0..INSTANCES, 0..SERVERS);
    prop_oneof![
        server.clone().prop_map(|server| Step::End { server }),
        server.clone().prop_map(|server| Step::Replace { server }),
        (instance.clone(), 0..4_usize).prop_map(|(instance, lag)| Step::Read { instance, lag }),
        (instance.clone(), server.clone(), any::<bool>())
            .prop_map(|(instance, server, is_back)| Step::Drain { instance, server, is_back }),
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
    fn leaving_never_becomes_live_in_one_life(
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

/// A zone, the platform's lists over time, and what each instance was seen to believe.
struct World {
    cluster: Cluster,
    lists: Vec<Vec<ListEntry>>,
    seen: BTreeMap<(InstanceName, MemberId, Incarnation), u64>,
    lives: u64,
}

impl World {
    fn new(seed: u64, loss: f64) -> Self {
        let mut cluster = Cluster::new(&["a"], INSTANCES, SERVERS, seed);
        cluster.loss = loss;
        let lists = vec![cluster.list.clone()];
        Self { cluster, lists, seen: BTreeMap::new(), lives: 1 }
    }

    fn apply(&mut self, step: &Step) {
        let now = self.cluster.now;
        match step {
            Step::End { server } => self.change_list(*server, |entry| {
                entry.state = ListState::Leaving;
            }),
            Step::Replace { server: index } => self.change_list(*index, |entry| {
                let life = entry.incarnation.0 + 1;
                *entry = server(&entry.name.clone(), "a", life);
            }),
            Step::Read { instance, lag } => {
                let list = self.lists[self.lists.len().saturating_sub(1 + lag)].clone();
                self.node(*instance).merge_platform_list(now, &list, &ListScope::All);
            }
            Step::Drain { instance, server, is_back: false } => {
                let _ = self.node(*instance).mark_leaving(now, &id(*server));
            }
            Step::Drain { instance, server, is_back: true } => {
                let _ = self.node(*instance).undrain(now, &id(*server));
            }
            Step::Probe { instance, server, is_ok } => {
                let MemberId::Server(name) = id(*server) else { unreachable!() };
                for _ in 0..3 {
                    self.node(*instance).probe_result(now, &name, *is_ok);
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
        self.seen.retain(|(instance, _, _), _| *instance != name);
        self.lives += 1;
        self.cluster.start(instance(name.as_str(), "a", self.lives), true);
    }

    fn change_list(&mut self, server: usize, change: impl Fn(&mut ListEntry)) {
        let id = id(server);
        let mut list = self.lists.last().unwrap().clone();
        let entry = list.iter_mut().find(|entry| *entry.name == *id.as_str()).unwrap();
        change(entry);
        self.lists.push(list);
    }

    /// Checks that no instance took back what it believed of the same life and drain epoch.
    fn check(&mut self) {
        for (name, node) in &self.cluster.nodes {
            for (id, member) in node.membership.members() {
                let standing = member.standing;
                let key = (name.clone(), id.clone(), standing.incarnation);
                // An even epoch means no drain; the announced end counts above every epoch.
                let end = if standing.is_leaving { u64::MAX } else { standing.drain_epoch };
                let before = self.seen.insert(key, end).unwrap_or(0);
                assert!(end >= before, "{name} took back the end of {id}");
                if end == u64::MAX || end % 2 == 1 {
                    assert!(member.state() >= MemberState::Leaving);
                }
            }
        }
    }

    /// Ends all faults, lets one instance read the newest list, and waits.
    fn heal(&mut self) {
        self.cluster.loss = 0.0;
        self.cluster.down.clear();
        let list = self.lists.last().unwrap().clone();
        let now = self.cluster.now;
        self.node(0).merge_platform_list(now, &list, &ListScope::All);
        self.cluster.run(Duration::from_secs(25));
    }

    fn check_agreement(&self) {
        let first = &self.cluster.nodes[&name(0)].membership;
        for (name, node) in &self.cluster.nodes {
            for index in 0..SERVERS {
                let (ours, theirs) = (node.membership.member(&id(index)), first.member(&id(index)));
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

    fn node(&mut self, index: usize) -> &mut Membership {
        &mut self.cluster.nodes.get_mut(&name(index)).unwrap().membership
    }
}

fn id(server: usize) -> MemberId {
    server_id(&format!("s-a-{server:04}"))
}

fn name(instance: usize) -> InstanceName {
    InstanceName::try_from(format!("i-a-{instance:03}").as_str()).unwrap()
}
