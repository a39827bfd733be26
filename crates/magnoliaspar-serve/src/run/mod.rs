//! Runs completions, from an accepted request to a complete answer or a refusal.
//!
//! The home instance of a request is its coordinator: it schedules the request, drives its prefill,
//! KV transfer and decode, and keeps its tokens. Other instances read the answer from the home
//! instance and relay it to their callers.

mod attempt;
mod completion;
mod dispatcher;
mod driver;
mod home;
mod job;
mod link;
mod memory;
mod plan;
mod reader;
mod refusal;
mod registry;
mod running;
mod shard;
mod stage;
mod task;

pub use self::attempt::AttemptIdGenerator;
pub use self::completion::{Completed, CompletionRequest, Placement, ScopedId};
pub use self::dispatcher::{Dispatcher, EngineHandle, EngineState};
pub use self::driver::Driver;
pub use self::home::{LocalHome, LocalHomeHandle};
pub use self::link::{Home, LinkBroken, LocalLink, OpenError, RunLink};
pub use self::reader::{AnswerReader, HomeChooser, RunOpener};
pub use self::running::{RunResult, RunUpdate};
pub use self::shard::{Shard, ShardMap};
