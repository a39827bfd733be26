//! Outcomes as they are stored for resends.

use serde::{Deserialize, Serialize};

/// The outcome of a request, stored for resends.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredOutcome {
    /// The status of the answer.
    pub status: u16,
    /// The headers that are repeated in the answer to a resend.
    pub headers: Vec<StoredHeader>,
    /// The body of the answer.
    pub body: StoredBody,
}

/// One stored header.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredHeader {
    /// The name in lower case.
    pub name: Box<str>,
    /// The value.
    pub value: Box<str>,
}

/// A stored body.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredBody {
    /// The complete body, which is valid UTF-8.
    Text(Box<str>),
    /// The complete body, which is not valid UTF-8.
    Binary(Box<[u8]>),
    /// No body, because it is larger than [`StoredBody::MAX_BYTES`], or because the memory for
    /// bodies that wait to be written was full.
    Omitted {
        /// The size of the body in bytes.
        bytes: u64,
    },
}

impl StoredBody {
    /// Maximum size of a stored body in bytes.
    pub const MAX_BYTES: usize = 32 * 1024;

    /// Returns the stored bytes, or `None` if the body was omitted.
    pub fn as_bytes(&self) -> Option<&[u8]> {
        match self {
            Self::Text(text) => Some(text.as_bytes()),
            Self::Binary(bytes) => Some(bytes),
            Self::Omitted { .. } => None,
        }
    }
}

impl From<&[u8]> for StoredBody {
    fn from(body: &[u8]) -> Self {
        if body.len() > Self::MAX_BYTES {
            return Self::Omitted { bytes: body.len() as u64 };
        }
        match std::str::from_utf8(body) {
            Ok(text) => Self::Text(text.into()),
            Err(_) => Self::Binary(body.into()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::StoredBody;

    #[test]
    fn bodies_are_stored_completely_or_omitted() {
        for body in [&b"text"[..], &[0xff, 0][..]] {
            let stored = StoredBody::from(body);
            let json = serde_json::to_string(&stored).unwrap();
            let parsed: StoredBody = serde_json::from_str(&json).unwrap();
            assert_eq!(parsed.as_bytes(), Some(body));
        }
        let large = vec![b'x'; StoredBody::MAX_BYTES + 1];
        assert_eq!(StoredBody::from(&large[..]).as_bytes(), None);
    }
}
