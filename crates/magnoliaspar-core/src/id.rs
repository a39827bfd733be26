//! Validated names and identifiers.

use std::fmt::{self, Display};

use displaydoc::Display as DisplayDoc;
use serde::{Deserialize, Serialize};

/// Maximum length of a name or identifier in characters.
const MAX_NAME_CHARS: usize = 128;

/// Maximum length of the name of a workspace in bytes. It is a header of requests, and HTTP servers commonly accept heads
/// of eight times this size.
const MAX_WORKSPACE_NAME_BYTES: usize = 1_024;

/// The reason why a text is not a valid name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(DisplayDoc)]
pub enum NameError {
    /// the name is empty
    Empty,
    /// the name is longer than 128 characters
    TooLong,
    /// the name contains {0:?}; only letters, digits, '-', '_', '.', ':' and '/' are allowed
    Character(char),
    /// the name is longer than 1024 bytes
    TooManyBytes,
    /// the name contains {0:?}, which a header cannot hold
    ControlCharacter(char),
    /// the name begins or ends with a space, which a header does not keep
    OuterSpace,
}

impl std::error::Error for NameError {}

/// Checks that a text is a name of letters, digits and a few other characters, which commands and keys of rows can hold
/// as it is.
pub fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.chars().count() > MAX_NAME_CHARS {
        return Err(NameError::TooLong);
    }
    for c in text.chars() {
        if !c.is_ascii_alphanumeric() && !matches!(c, '-' | '_' | '.' | ':' | '/') {
            return Err(NameError::Character(c));
        }
    }
    Ok(())
}

/// Checks that a text can be the value of a header and stays as it is on the way. Bytes beyond ASCII can be in one.
fn check_header_text(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_WORKSPACE_NAME_BYTES {
        return Err(NameError::TooManyBytes);
    }
    if let Some(c) = text.chars().find(char::is_ascii_control) {
        return Err(NameError::ControlCharacter(c));
    }
    if text.starts_with(' ') || text.ends_with(' ') {
        return Err(NameError::OuterSpace);
    }
    Ok(())
}

/// Defines a string type that accepts only valid names.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        name_type! { $(#[$doc])* $name, check_name }
    };
    ($(#[$doc:meta])* $name:ident, $check:path) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(try_from = "Box<str>", into = "Box<str>")]
        pub struct $name(Box<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(text: &str) -> Result<Self, NameError> {
                $check(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<Box<str>> for $name {
            type Error = NameError;

            fn try_from(text: Box<str>) -> Result<Self, NameError> {
                $check(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for Box<str> {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

name_type! {
    /// The name of an entry instance, unique over all availability zones.
    InstanceName
}
name_type! {
    /// The name of a backend server, unique over all availability zones.
    ServerName
}
name_type! {
    /// The name of an availability zone.
    ZoneName
}
name_type! {
    /// The name of the workspace that a caller belongs to: any text that fits into the value of a header.
    WorkspaceName, check_header_text
}
name_type! {
    /// The name of a route.
    RouteName
}
name_type! {
    /// The name of a model.
    ModelName
}
name_type! {
    /// The name of a pool of backend servers.
    PoolName
}
name_type! {
    /// The identifier of a request, set by its caller or else by the instance that accepts it.
    RequestId
}
name_type! {
    /// The key that a caller sends with every retry of the same non-idempotent request.
    IdempotencyKey
}

impl RequestId {
    /// Creates a random identifier.
    pub fn random() -> Self {
        Self(uuid::Uuid::new_v4().to_string().into())
    }
}

/// The number of an attempt to run a request; later attempts have higher numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct AttemptId(pub u64);

impl Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The incarnation number of an instance or backend server; each restart increases it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

#[cfg(test)]
mod tests {
    use super::{NameError, RequestId, WorkspaceName};

    #[test]
    fn names_are_checked() {
        assert_eq!(RequestId::try_from(""), Err(NameError::Empty));
        assert_eq!(RequestId::try_from("a b"), Err(NameError::Character(' ')));
        assert_eq!(RequestId::try_from("x".repeat(129).as_str()), Err(NameError::TooLong));
        assert_eq!(RequestId::try_from("pack-7/2").unwrap().as_str(), "pack-7/2");
    }

    /// Guards against workspaces that are refused for their names, and against names that reach servers changed.
    #[test]
    fn the_name_of_a_workspace_is_any_text_that_fits_into_a_header() {
        for text in
            ["Two Words", "Caf\u{e9} \u{4e2d}", "a,b;c=\"d\\\" %20", "x".repeat(1_024).as_str()]
        {
            assert_eq!(WorkspaceName::try_from(text).unwrap().as_str(), text);
        }
        for (text, error) in [
            ("", NameError::Empty),
            ("a\r\nb", NameError::ControlCharacter('\r')),
            ("a\0", NameError::ControlCharacter('\0')),
            ("a\u{7f}", NameError::ControlCharacter('\u{7f}')),
            (" a", NameError::OuterSpace),
            ("a ", NameError::OuterSpace),
            ("\u{e9}".repeat(513).as_str(), NameError::TooManyBytes),
        ] {
            assert_eq!(WorkspaceName::try_from(text), Err(error), "{text:?}");
        }
    }
}
