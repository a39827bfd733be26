//! Running completions: from an accepted request to a complete answer or a refusal.

mod attempt;
mod completion;
mod dispatcher;
mod driver;
mod registry;
mod running;

pub use self::attempt::AttemptIds;
pub use self::completion::{Completed, CompletionRequest, Placement, ScopedId};
pub use self::dispatcher::{Dispatcher, EngineHandle, EnginePair, PlacedJob, Step};
pub use self::driver::Driver;
pub use self::registry::{Opened, RunRegistry};
pub use self::running::{Run, RunResult, RunUpdate, Subscription};
