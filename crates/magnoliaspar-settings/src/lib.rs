//! The checked settings of one instance.

mod read;
mod secret;
mod settings;

pub use self::secret::Secret;
pub use self::settings::{
    LogSettings, OperatorKey, OperatorRights, PeerKeys, PlatformSettings, Settings,
};
