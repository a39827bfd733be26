use std::time::Duration;

use displaydoc::Display;

/// How long the load rises before requests are counted.
pub(crate) const WARM_UP: Duration = Duration::from_secs(30);

/// For how long requests are counted.
pub(crate) const WINDOW: Duration = Duration::from_secs(60);

/// The load at the start of the warm-up, relative to capacity.
pub(crate) const WARM_UP_LOAD: f64 = 0.3;

/// A load and the faults in it.
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

/// What a scenario consists of.
#[derive(Debug, Clone)]
pub(crate) struct Shape {
    /// The load in the window, relative to capacity.
    pub(crate) load: f64,
    /// The share of requests for one document that nobody has read before the window.
    pub(crate) hot_share: f64,
    /// The share of requests whose callers cancel.
    pub(crate) cancel_share: f64,
    /// The share of requests that come from one workspace.
    pub(crate) greedy_share: f64,
    /// The fault, if one is injected.
    pub(crate) fault: Option<Fault>,
}

/// A fault, with times from the start of the window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The first decode engine dies and comes back empty.
    DecodeLost {
        /// When it dies.
        at: Duration,
        /// When it is back.
        back_at: Duration,
    },
    /// The last availability zone is cut off from the instance that decides.
    ZoneCut {
        /// When the cut begins.
        at: Duration,
        /// When the cut ends.
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

    /// Returns what the scenario consists of.
    pub(crate) fn shape(self) -> Shape {
        let usual =
            Shape { load: 1.0, hot_share: 0.0, cancel_share: 0.0, greedy_share: 0.0, fault: None };
        let at = Duration::from_secs(20);
        let back_at = Duration::from_secs(40);
        match self {
            Self::Calm => Shape { load: 0.5, ..usual },
            Self::Peak => usual,
            Self::TwiceCapacity => Shape { load: 2.0, ..usual },
            Self::DecodeLost => Shape { fault: Some(Fault::DecodeLost { at, back_at }), ..usual },
            Self::ZoneCut => Shape { fault: Some(Fault::ZoneCut { at, back_at }), ..usual },
            Self::HotDocument => Shape { hot_share: 0.6, ..usual },
            Self::Cancels => Shape { cancel_share: 0.2, ..usual },
            Self::GreedyWorkspace => Shape { load: 1.5, greedy_share: 0.6, ..usual },
        }
    }

    /// Returns the scenario with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|scenario| scenario.to_string() == name)
    }
}
