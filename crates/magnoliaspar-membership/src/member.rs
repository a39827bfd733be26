//! Members of an availability zone and their mergeable state.

use std::fmt::{self, Display};
use std::time::Instant;

use magnoliaspar_core::{Incarnation, InstanceName, ServerName};
use serde::{Deserialize, Serialize};

use crate::MemberEntry;

/// A member of the zone as one instance knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The zone, address and kind of the member.
    pub entry: MemberEntry,
    /// The state of the member as known to this instance.
    pub standing: Standing,
    /// Time of the last change of the standing on this instance.
    pub changed_at: Instant,
}

impl Member {
    /// Returns the state.
    pub fn state(&self) -> MemberState {
        self.standing.state()
    }
}

/// Identifies an instance or a backend server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberId {
    /// An entry instance.
    Instance(InstanceName),
    /// A backend server.
    Server(ServerName),
}

impl MemberId {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        match self {
            Self::Instance(name) => name.as_str(),
            Self::Server(name) => name.as_str(),
        }
    }

    /// Returns the name, if this is an instance.
    pub fn as_instance(&self) -> Option<&InstanceName> {
        match self {
            Self::Instance(name) => Some(name),
            Self::Server(_) => None,
        }
    }
}

impl Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The mergeable state of a member.
///
/// Standings form a join semilattice: [`merge`](Self::merge) is commutative, associative and
/// idempotent, so that instances converge regardless of the order in which changes arrive.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Standing {
    /// The incarnation of the member. A higher one replaces all other fields.
    pub incarnation: Incarnation,
    /// Set once the platform or the member itself has announced its end. Never reset within one
    /// incarnation.
    pub is_leaving: bool,
    /// Number of drains and undrains by operators in this incarnation. Odd numbers mean drained.
    pub drain_epoch: u64,
    /// Number of refutations in this incarnation, by the member or, for a server, by its prober.
    pub sequence: u64,
    /// The health of the member, as of `sequence`.
    pub health: Health,
}

impl Standing {
    /// Returns the standing of a member at the start of an incarnation.
    pub fn new(incarnation: Incarnation, is_leaving: bool) -> Self {
        Self { incarnation, is_leaving, ..Self::default() }
    }

    /// Merges another standing of the same member and returns whether this one changed.
    pub fn merge(&mut self, other: &Standing) -> bool {
        let before = *self;
        if other.incarnation > self.incarnation {
            *self = *other;
        } else if other.incarnation == self.incarnation {
            self.is_leaving |= other.is_leaving;
            self.drain_epoch = self.drain_epoch.max(other.drain_epoch);
            (self.sequence, self.health) =
                (self.sequence, self.health).max((other.sequence, other.health));
        }
        *self != before
    }

    /// Returns whether an operator has drained the member.
    pub fn is_drained(&self) -> bool {
        self.drain_epoch % 2 == 1
    }

    /// Derives the state from the fields.
    pub fn state(&self) -> MemberState {
        if self.health == Health::Dead {
            return MemberState::Dead;
        }
        if self.is_leaving || self.is_drained() {
            return MemberState::Leaving;
        }
        if self.health == Health::Suspect { MemberState::Suspect } else { MemberState::Live }
    }
}

/// The health of a member as its failure detection sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// The member answers.
    #[default]
    Live,
    /// The member has not answered for some time.
    Suspect,
    /// The member has not refuted the suspicion in time.
    Dead,
}

/// The state of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(displaydoc::Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// live
    Live,
    /// suspect
    Suspect,
    /// leaving
    Leaving,
    /// dead
    Dead,
}

#[cfg(test)]
mod tests {
    use magnoliaspar_core::Incarnation;

    use super::{Health, MemberState, Standing};

    #[test]
    fn leaving_outlives_a_refuted_death() {
        let mut standing = Standing::new(Incarnation(3), true);
        standing.merge(&Standing { health: Health::Dead, ..standing });
        assert_eq!(standing.state(), MemberState::Dead);
        standing.merge(&Standing { sequence: 1, ..Standing::new(Incarnation(3), false) });
        assert_eq!(standing.state(), MemberState::Leaving);
        standing.merge(&Standing::new(Incarnation(2), false));
        assert_eq!(standing.state(), MemberState::Leaving);
        standing.merge(&Standing::new(Incarnation(4), false));
        assert_eq!(standing.state(), MemberState::Live);
    }
}
