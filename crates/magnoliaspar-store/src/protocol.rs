//! The paths, headers and messages of the HTTP protocol, for clients and servers.

use serde::{Deserialize, Serialize};

use crate::RowKey;

/// The path of table reads.
pub const TABLE_READ_PATH: &str = "/table/read";

/// The path of table scans.
pub const TABLE_SCAN_PATH: &str = "/table/scan";

/// The path of table transactions.
pub const TABLE_COMMIT_PATH: &str = "/table/commit";

/// The path prefix of objects, which the name of the object follows.
pub const OBJECTS_PATH: &str = "/objects/";

/// The path of requests to download weights.
pub const WEIGHTS_PATH: &str = "/weights/acquire";

/// The path of the list of instances and backend servers.
pub const INSTANCES_PATH: &str = "/instances";

/// The header of a rate-limited answer with the time to wait before a retry in milliseconds.
pub const RETRY_AFTER_HEADER: &str = "retry-after-ms";

/// The body of a table read.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReadRequest {
    /// The key of the row.
    pub key: RowKey,
}

/// The body of a table scan.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ScanRequest {
    /// The prefix of the keys.
    pub prefix: Box<str>,
    /// The key after which the scan starts.
    pub after: Option<RowKey>,
    /// Maximum number of rows to return.
    pub limit: usize,
}

/// The body of a request to download weights.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AcquireRequest {
    /// The model.
    pub model: Box<str>,
    /// The size of the download in bytes.
    pub bytes: u64,
}
