//! In-memory fakes of the platform's services with fault injection, for tests.

mod fault;
mod instances;
mod objects;
mod table;
mod weights;

pub use self::fault::{CallCounts, Fault, FaultProbabilities, Faults, Sleeper};
pub use self::instances::MemoryInstances;
pub use self::objects::MemoryObjects;
pub use self::table::MemoryTable;
pub use self::weights::MemoryWeights;
