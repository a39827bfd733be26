use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use displaydoc::Display;
use magnoliaspar_core::InstanceName;

/// How long a starting instance waits for peers that do not answer.
const PEER_LIMIT: Duration = Duration::from_secs(5);

/// Decides whether a starting instance knows enough of the configuration to serve.
///
/// It serves once it has the newest version that it could learn: the platform's, or if the platform
/// is out of reach, the highest of all peers that answer.
#[derive(Debug, Clone)]
pub struct Startup {
    started_at: Instant,
    platform: Source,
    peers: BTreeMap<InstanceName, Source>,
    is_done: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    Pending,
    Unreachable,
    Has(u64),
}

impl Startup {
    /// Starts to learn.
    pub fn new(now: Instant) -> Self {
        Self { started_at: now, platform: Source::Pending, peers: BTreeMap::new(), is_done: false }
    }

    /// The platform named its newest version, or could not be reached.
    pub fn platform_answered(&mut self, version: Option<u64>) {
        self.platform = version.map_or(Source::Unreachable, Source::Has);
    }

    /// A peer is asked for its version.
    pub fn peer_asked(&mut self, peer: InstanceName) {
        self.peers.entry(peer).or_insert(Source::Pending);
    }

    /// A peer named its version, or could not be reached.
    pub fn peer_answered(&mut self, peer: InstanceName, version: Option<u64>) {
        self.peers.insert(peer, version.map_or(Source::Unreachable, Source::Has));
    }

    /// Returns whether the instance may serve by the version that it has.
    pub fn readiness(&mut self, now: Instant, version: u64) -> Readiness {
        if version == 0 {
            return Readiness::NoConfiguration;
        }
        if self.is_done {
            return Readiness::Ready;
        }
        let newest = self.newest();
        if version < newest {
            return Readiness::Behind { version, newest };
        }
        if !self.has_asked_all(now) {
            return Readiness::Learning;
        }
        self.is_done = true;
        Readiness::Ready
    }

    fn newest(&self) -> u64 {
        let mut newest = 0;
        for source in self.peers.values().chain([&self.platform]) {
            if let Source::Has(version) = source {
                newest = newest.max(*version);
            }
        }
        newest
    }

    fn has_asked_all(&self, now: Instant) -> bool {
        match self.platform {
            // Nothing is accepted but by the platform, so no peer has a newer version.
            Source::Has(_) => true,
            Source::Pending => false,
            Source::Unreachable => {
                let is_patient = now.saturating_duration_since(self.started_at) < PEER_LIMIT;
                let is_pending = self.peers.values().any(|source| *source == Source::Pending);
                let has_answer = self.peers.values().any(|peer| matches!(peer, Source::Has(_)));
                has_answer && !(is_pending && is_patient)
            }
        }
    }
}

/// Whether an instance may serve by the configuration that it has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
pub enum Readiness {
    /// the configuration is known
    Ready,
    /// no configuration could be learned from the platform or from peers
    NoConfiguration,
    /// version {version} is known, and version {newest} is on its way
    Behind {
        /// The version that the instance has.
        version: u64,
        /// The newest version that it heard of.
        newest: u64,
    },
    /// the platform and the peers have not all answered yet
    Learning,
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use magnoliaspar_core::InstanceName;

    use super::{Readiness, Startup};

    fn peer(name: &str) -> InstanceName {
        InstanceName::try_from(name).unwrap()
    }

    #[test]
    fn nothing_learned_is_not_ready() {
        let now = Instant::now();
        let mut startup = Startup::new(now);
        startup.platform_answered(None);
        startup.peer_answered(peer("a"), None);
        let later = now + Duration::from_secs(60);
        assert_eq!(startup.readiness(later, 0), Readiness::NoConfiguration);
    }

    #[test]
    fn the_highest_version_that_can_be_learned_is_awaited() {
        let now = Instant::now();
        let mut startup = Startup::new(now);
        startup.peer_asked(peer("a"));
        startup.peer_asked(peer("b"));
        startup.peer_answered(peer("a"), Some(4));
        assert_eq!(startup.readiness(now, 4), Readiness::Learning);
        startup.platform_answered(None);
        assert_eq!(startup.readiness(now, 4), Readiness::Learning);
        startup.peer_answered(peer("b"), Some(6));
        assert_eq!(startup.readiness(now, 4), Readiness::Behind { version: 4, newest: 6 });
        assert_eq!(startup.readiness(now, 6), Readiness::Ready);
    }
}
