//! Validated names and identifiers.

use std::fmt::{self, Display};

use displaydoc::Display as DisplayDoc;
use serde::{Deserialize, Serialize};

/// Maximum length of a name or identifier in characters.
const MAX_NAME_CHARS: usize = 128;

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
}

impl std::error::Error for NameError {}

fn check_name(text: &str) -> Result<(), NameError> {
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

/// Defines a string type that accepts only valid names.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
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
                check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<Box<str>> for $name {
            type Error = NameError;

            fn try_from(text: Box<str>) -> Result<Self, NameError> {
                check_name(&text)?;
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
    /// The name of a workspace, the tenant that a caller belongs to.
    WorkspaceName
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
    use super::{NameError, RequestId};

    #[test]
    fn names_are_checked() {
        assert_eq!(RequestId::try_from(""), Err(NameError::Empty));
        assert_eq!(RequestId::try_from("a b"), Err(NameError::Character(' ')));
        assert_eq!(RequestId::try_from("x".repeat(129).as_str()), Err(NameError::TooLong));
        assert_eq!(RequestId::try_from("pack-7/2").unwrap().as_str(), "pack-7/2");
    }
}
