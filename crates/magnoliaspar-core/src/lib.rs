//! Types that all other crates share: identifiers, arena keys, clocks, findings, outcomes and
//! prefix hashes.

mod clock;
mod epoch;
mod finding;
mod id;
mod key;
mod outcome;
mod prefix;

pub use self::clock::{Clock, ManualClock, SystemClock};
pub use self::epoch::{Epoch, Position};
pub use self::finding::{Finding, Findings, Place};
pub use self::id::{
    AttemptId, IdempotencyKey, Incarnation, InstanceName, ModelName, NameError, PoolName,
    RequestId, RouteName, ServerName, WorkspaceName, ZoneName, check_name,
};
pub use self::key::{InstanceKey, JobKey, ServerKey, WorkspaceKey, ZoneKey};
pub use self::outcome::{Outcome, Refusal, RefusalCode};
pub use self::prefix::{BLOCK_BYTES, BLOCK_TOKENS, BlockHash, hash_blocks};
