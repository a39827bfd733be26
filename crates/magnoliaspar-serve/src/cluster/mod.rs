//! State that the instances of a deployment share: membership and configuration.

mod configuration;
mod convert;
mod gossip;
mod list;
mod probe;
mod state;

pub use self::configuration::read_configuration;
pub use self::gossip::run_gossip;
pub use self::list::read_list;
pub use self::probe::probe_servers;
pub use self::state::{ClusterDependents, ClusterState};
