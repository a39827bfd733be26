//! The scenarios: load shapes and injected faults.

use std::time::Duration;

use displaydoc::Display;

/// Duration of the warm-up, in which the load rises and requests are not counted.
pub(crate) const WARM_UP: Duration = Duration::from_secs(30);

/// Duration of the measurement window, which follows the warm-up.
pub(crate) const WINDOW: Duration = Duration::from_secs(60);

/// The load at the start of the warm-up, relative to capacity.
pub(crate) const WARM_UP_LOAD: f64 = 0.3;

/// A load with a distribution of requests and at most one fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display)]
pub enum Scenario {
    /// calm
    Calm,
    /// peak
    Peak,
    /// twice-capacity
    TwiceCapacity,
    /// decode-lost
    DecodeLost,
    /// zone-cut
    ZoneCut,
    /// hot-document
    HotDocument,
    /// cancels
    Cancels,
    /// greedy-workspace
    GreedyWorkspace,
}

/// The parameters of a scenario.
#[derive(Debug, Clone)]
pub(crate) struct Shape {
    /// The load in the measurement window, relative to capacity.
    pub(crate) load: f64,
    /// The fraction of requests in the window that ask about one document that no cache contained
    /// before.
    pub(crate) hot_share: f64,
    /// The fraction of requests whose callers cancel.
    pub(crate) cancel_share: f64,
    /// The fraction of requests that come from one workspace.
    pub(crate) greedy_share: f64,
    /// The fault, if one is injected.
    pub(crate) fault: Option<Fault>,
}

/// A fault. Its times are measured from the start of the measurement window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The first decode engine crashes and returns with empty memory.
    DecodeLost {
        /// The time of the crash.
        at: Duration,
        /// The time of the return.
        back_at: Duration,
    },
    /// The network between the last availability zone and the deciding instance is partitioned.
    ZoneCut {
        /// The start of the partition.
        at: Duration,
        /// The end of the partition.
        back_at: Duration,
    },
}

impl Scenario {
    /// All scenarios, in the order in which they are reported.
    pub const ALL: [Self; 8] = [
        Self::Calm,
        Self::Peak,
        Self::TwiceCapacity,
        Self::DecodeLost,
        Self::ZoneCut,
        Self::HotDocument,
        Self::Cancels,
        Self::GreedyWorkspace,
    ];

    /// Returns the parameters of the scenario.
    pub(crate) fn shape(self) -> Shape {
        let base =
            Shape { load: 1.0, hot_share: 0.0, cancel_share: 0.0, greedy_share: 0.0, fault: None };
        let at = Duration::from_secs(20);
        let back_at = Duration::from_secs(40);
        match self {
            Self::Calm => Shape { load: 0.5, ..base },
            Self::Peak => base,
            Self::TwiceCapacity => Shape { load: 2.0, ..base },
            Self::DecodeLost => Shape { fault: Some(Fault::DecodeLost { at, back_at }), ..base },
            Self::ZoneCut => Shape { fault: Some(Fault::ZoneCut { at, back_at }), ..base },
            Self::HotDocument => Shape { hot_share: 0.6, ..base },
            Self::Cancels => Shape { cancel_share: 0.2, ..base },
            Self::GreedyWorkspace => Shape { load: 1.5, greedy_share: 0.6, ..base },
        }
    }

    /// Returns the scenario with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|scenario| scenario.to_string() == name)
    }
}
