//! The settings of an instance, read from a JSON file and checked.

mod read;
mod secret;
mod settings;

pub use self::secret::Secret;
pub use self::settings::{
    LogSettings, OperatorKey, OperatorRights, PeerKeys, PlatformSettings, Settings,
};
