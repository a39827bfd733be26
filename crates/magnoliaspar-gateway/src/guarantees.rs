//! Promises that tests break on purpose, to show that their checks notice.

/// A promise that can be broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guarantee {
    /// What may run once at most is not sent again.
    AtMostOnce,
    /// A refusal that says "not run" is true.
    TrueRefusal,
    /// A caller gets the answer to its own request.
    OwnAnswer,
    /// Events come once and in order.
    EventOrder,
    /// A leaving server gets no requests.
    Drain,
    /// A configuration never reverts.
    Configuration,
    /// Retries stay within the budget.
    Budget,
    /// A stopping instance ends in time.
    Stop,
}

/// Whether a test has asked for a promise to be broken.
#[cfg(feature = "breakable")]
pub fn is_disabled(promise: Guarantee) -> bool {
    std::env::var("MAGNOLIASPAR_BROKEN").is_ok_and(|name| name == format!("{promise:?}"))
}

/// Whether a test has asked for a promise to be broken; never, in a build for users.
#[cfg(not(feature = "breakable"))]
pub fn is_disabled(_: Guarantee) -> bool {
    false
}
