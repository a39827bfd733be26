use std::fmt;

/// A key that is redacted in debug output, so that it does not reach a log.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Box<str>);

impl Secret {
    /// Wraps a key.
    pub fn new(text: impl Into<Box<str>>) -> Self {
        Self(text.into())
    }

    /// Returns the key itself.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Compares the key with `other` in constant time for texts of equal length.
    pub fn matches(&self, other: &str) -> bool {
        if self.0.len() != other.len() {
            return false;
        }
        let mut difference = 0;
        for (a, b) in self.0.bytes().zip(other.bytes()) {
            difference |= a ^ b;
        }
        difference == 0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

#[cfg(test)]
mod tests {
    use super::Secret;

    #[test]
    fn a_secret_is_not_printed() {
        assert_eq!(format!("{:?}", Secret::new("hunter2")), "Secret(..)");
    }

    #[test]
    fn a_secret_matches_only_itself() {
        let secret = Secret::new("hunter2");
        assert!(secret.matches("hunter2"));
        assert!(!secret.matches("hunter3"));
        assert!(!secret.matches("hunter"));
    }
}
