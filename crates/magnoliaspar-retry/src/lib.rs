//! Retry budgets, backoff, hedging, outlier ejection and quarantine.
