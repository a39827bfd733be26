//! Readiness of a starting instance with respect to the configuration.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use displaydoc::Display;
use magnoliaspar_core::InstanceName;

/// Time that a starting instance waits for peers that do not answer.
const PEER_TIMEOUT: Duration = Duration::from_secs(5);

/// Decides whether the configuration of a starting instance is recent enough to serve.
///
/// The instance serves once it has the newest version that it can learn: that of the platform, or
/// if the platform is unreachable, the highest version of all peers that answer.
#[derive(Debug, Clone)]
pub struct Startup {
    started_at: Instant,
    platform: SourceState,
    peers: BTreeMap<InstanceName, SourceState>,
    was_ready: bool,
}

/// The answer of the platform or a peer that was asked for its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SourceState {
    Pending,
    Unreachable,
    Version(u64),
}

impl Startup {
    /// Creates the state of an instance that starts now and has no answers yet.
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            platform: SourceState::Pending,
            peers: BTreeMap::new(),
            was_ready: false,
        }
    }

    /// Records the newest version at the platform, or `None` if the platform is unreachable.
    pub fn platform_answered(&mut self, version: Option<u64>) {
        self.platform = version.map_or(SourceState::Unreachable, SourceState::Version);
    }

    /// Records that a peer is asked for its version.
    pub fn peer_asked(&mut self, peer: InstanceName) {
        self.peers.entry(peer).or_insert(SourceState::Pending);
    }

    /// Records the version of a peer, or `None` if the peer is unreachable.
    pub fn peer_answered(&mut self, peer: InstanceName, version: Option<u64>) {
        self.peers.insert(peer, version.map_or(SourceState::Unreachable, SourceState::Version));
    }

    /// Returns whether the instance may serve with its current `version`.
    pub fn readiness(&mut self, now: Instant, version: u64) -> Readiness {
        if version == 0 {
            return Readiness::NoConfiguration;
        }
        if self.was_ready {
            return Readiness::Ready;
        }
        let newest = self.newest_version();
        if version < newest {
            return Readiness::Behind { version, newest };
        }
        if !self.has_learned_newest(now) {
            return Readiness::Learning;
        }
        self.was_ready = true;
        Readiness::Ready
    }

    fn newest_version(&self) -> u64 {
        let mut newest = 0;
        for source in self.peers.values().chain([&self.platform]) {
            if let SourceState::Version(version) = source {
                newest = newest.max(*version);
            }
        }
        newest
    }

    fn has_learned_newest(&self, now: Instant) -> bool {
        match self.platform {
            // Only the platform accepts changes, so no peer has a newer version.
            SourceState::Version(_) => true,
            SourceState::Pending => false,
            SourceState::Unreachable => {
                let is_before_timeout =
                    now.saturating_duration_since(self.started_at) < PEER_TIMEOUT;
                let is_pending = self.peers.values().any(|source| *source == SourceState::Pending);
                let has_answer =
                    self.peers.values().any(|peer| matches!(peer, SourceState::Version(_)));
                has_answer && !(is_pending && is_before_timeout)
            }
        }
    }
}

/// The readiness of an instance to serve with its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
pub enum Readiness {
    /// the configuration is known
    Ready,
    /// no configuration received from the platform or from peers
    NoConfiguration,
    /// the configuration has version {version}, but version {newest} is known to exist
    Behind {
        /// The version of the instance.
        version: u64,
        /// The newest known version.
        newest: u64,
    },
    /// waiting for the platform and the peers to report their newest versions
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
    fn an_instance_without_any_version_is_not_ready() {
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
