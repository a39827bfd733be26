//! Simulated engines and links. They model only the behaviour that a policy can observe.

mod cache;
mod decode;
mod link;
mod prefill;

pub(crate) use self::cache::CacheChange;
pub(crate) use self::decode::{DecodeEngine, DecodeTask};
pub(crate) use self::link::Link;
pub(crate) use self::prefill::{PrefillEngine, PrefillTask};
