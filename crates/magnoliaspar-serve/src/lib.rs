//! One entry instance: takes requests, runs them on backend servers and relays the answers.
