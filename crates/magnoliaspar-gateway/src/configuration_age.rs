//! Decides whether a configuration that was read replaces the current one.

use std::time::Duration;

use magnoliaspar_core::{Epoch, Position};

use crate::gateway::Gateway;
use crate::route::Routing;

/// Relation of a configuration that was read to the current one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigurationAge {
    /// It has a higher version, or is the first one.
    Newer,
    /// It has the same version in a later epoch, but other content: the operator has written it anew.
    Rewritten,
    /// It is the current one, read again in a later epoch.
    Confirmed,
    /// It is the current one, or one with a lower version.
    NotNewer,
}

impl ConfigurationAge {
    /// Compares a configuration with the current one, each with the epoch of the store in which it was read.
    ///
    /// The version is the operator's and counts across epochs: a lower one never replaces a higher one.
    pub fn of(current: Option<(&Routing, Epoch)>, read: (&Routing, Epoch)) -> Self {
        let Some((current, current_epoch)) = current else { return Self::Newer };
        let (read, epoch) = read;
        if read.version > current.version {
            return Self::Newer;
        }
        if read.version < current.version || epoch <= current_epoch {
            return Self::NotNewer;
        }
        if read == current { Self::Confirmed } else { Self::Rewritten }
    }

    /// Returns whether the configuration replaces the current one.
    pub fn replaces(self) -> bool {
        matches!(self, Self::Newer | Self::Rewritten)
    }
}

impl Gateway {
    /// Compares the configuration with those of the peers, and logs when it becomes outdated and
    /// when it is current again.
    pub fn check_version(&self) {
        let now = self.clock.now();
        let version = self.routing().map_or(0, |routing| routing.version);
        let newest = self.peers().and_then(|peers| peers.newest_version());
        let (newest, peer) = newest.unwrap_or_default();
        self.metrics.newest_version.set(newest.max(version) as i64);
        let since = self.outdated_since.get();
        let outdated_for = since.map_or(Duration::ZERO, |since| now - since);
        self.metrics.outdated_ms.set(outdated_for.as_millis() as i64);
        match since {
            None if newest > version => {
                let Position { epoch, revision } = self.routing_position.applied();
                log::warn!(version, newest, peer = &*peer, epoch = epoch.0, revision; "configuration_outdated");
                self.outdated_since.set(Some(now));
            }
            Some(_) if newest <= version => {
                let outdated_ms = outdated_for.as_millis() as u64;
                log::info!(version, outdated_ms; "configuration_current");
                self.outdated_since.set(None);
                self.metrics.outdated_ms.set(0);
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeMap;

    use magnoliaspar_core::Epoch;

    use crate::route::{CallerLimits, Routing};

    use super::ConfigurationAge;

    fn routing(version: u64, max_body: usize) -> Routing {
        let limits = CallerLimits { max_body, ..CallerLimits::default() };
        Routing::new(version, Vec::new(), BTreeMap::new(), limits)
    }

    #[test]
    fn a_lower_version_never_replaces_a_higher_one() {
        let current = routing(5, 1);
        for (epoch, version, expected) in [
            (1, 4, ConfigurationAge::NotNewer),
            (2, 4, ConfigurationAge::NotNewer),
            (1, 5, ConfigurationAge::NotNewer),
            (2, 5, ConfigurationAge::Rewritten),
            (0, 6, ConfigurationAge::Newer),
            (2, 6, ConfigurationAge::Newer),
        ] {
            let read = routing(version, 2);
            let age = ConfigurationAge::of(Some((&current, Epoch(1))), (&read, Epoch(epoch)));
            assert_eq!(age, expected, "version {version} of epoch {epoch}");
        }
        let again = ConfigurationAge::of(Some((&current, Epoch(1))), (&routing(5, 1), Epoch(2)));
        assert_eq!(again, ConfigurationAge::Confirmed);
        assert!(ConfigurationAge::of(None, (&current, Epoch(0))).replaces());
    }
}
