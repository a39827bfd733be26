use serde::{Deserialize, Serialize};

/// The outcome of a request, kept for resends.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredOutcome {
    /// The status of the answer.
    pub status: u16,
    /// The headers that a resend needs.
    pub headers: Vec<StoredHeader>,
    /// The body of the answer.
    pub body: StoredBody,
}

/// One kept header.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredHeader {
    /// The name in lower case.
    pub name: Box<str>,
    /// The value.
    pub value: Box<str>,
}

/// A kept body.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredBody {
    /// The whole body, which is text.
    Text(Box<str>),
    /// The whole body, which is not text.
    Binary(Box<[u8]>),
    /// Nothing, since the body is larger than [`StoredBody::MAX_BYTES`].
    Omitted {
        /// The size of the body in bytes.
        bytes: u64,
    },
}

impl StoredBody {
    /// The largest body that is kept, in bytes.
    pub const MAX_BYTES: usize = 32 * 1024;

    /// Returns the kept bytes, if the body was kept.
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
    fn bodies_are_kept_whole_or_not_at_all() {
        for body in [&b"text"[..], &[0xff, 0][..]] {
            let stored = StoredBody::from(body);
            let json = serde_json::to_string(&stored).unwrap();
            let again: StoredBody = serde_json::from_str(&json).unwrap();
            assert_eq!(again.as_bytes(), Some(body));
        }
        let large = vec![b'x'; StoredBody::MAX_BYTES + 1];
        assert_eq!(StoredBody::from(&large[..]).as_bytes(), None);
    }
}
