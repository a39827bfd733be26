//! Guarantees of the gateway that a test can disable, to show that its checks detect the violation.

/// A guarantee that can be disabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guarantee {
    /// A request that is not idempotent runs at most once.
    AtMostOnce,
    /// A refusal that reports "not run" is true.
    TrueRefusal,
    /// A caller receives the response to its own request.
    OwnAnswer,
    /// An answer that broke off does not look complete.
    WholeAnswer,
    /// An answer whose request could not be written is whole only if a length or chunks tell so.
    FailedWrite,
    /// An answer has a status of HTTP.
    ValidStatus,
    /// Events are delivered once and in order.
    EventOrder,
    /// A draining server receives no requests.
    Drain,
    /// A server that says in its answers that it leaves receives no requests.
    Leaving,
    /// A server that asks for rest receives no requests until its end.
    Rest,
    /// The configuration never reverts to an older version.
    Configuration,
    /// Retries stay within the budget.
    Budget,
    /// A server gets no more requests than the limit that it names for all instances.
    Limit,
    /// A stopping instance ends before its deadline.
    Stop,
    /// An attempt at a silent server is kept until another one has succeeded.
    KeptAttempt,
    /// Positions in the store are compared by its epochs first.
    StoreEpoch,
    /// A stopping instance starts only what ends before it.
    FinishBeforeEnd,
    /// Requests that crash servers are kept from them.
    Quarantine,
    /// The memory for responses is bounded.
    ResponseMemory,
}

/// Returns whether a test has disabled a guarantee.
#[cfg(feature = "breakable")]
pub fn is_disabled(guarantee: Guarantee) -> bool {
    std::env::var("MAGNOLIASPAR_BROKEN").is_ok_and(|name| name == format!("{guarantee:?}"))
}

/// Returns whether a test has disabled a guarantee; always false without the feature `breakable`.
#[cfg(not(feature = "breakable"))]
pub fn is_disabled(_: Guarantee) -> bool {
    false
}
