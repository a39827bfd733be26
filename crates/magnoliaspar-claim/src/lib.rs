//! Claims on non-idempotent requests, written before dispatch.
