//! The key that a caller presents with a request.

use magnoliaspar_declaration::KeyDigest;

/// The scheme of the `Authorization` header that carries a key.
const SCHEME: &str = "bearer";

/// What a request says about its caller. The key itself is not kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Credentials {
    /// There is no `Authorization` header.
    Missing,
    /// There are several such headers, or one that holds no key.
    Malformed,
    /// The digest of the key.
    Key(KeyDigest),
}

impl Credentials {
    /// Reads the values of all `Authorization` headers of a request.
    pub fn read<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut values = values.into_iter();
        let Some(value) = values.next() else { return Self::Missing };
        if values.next().is_some() {
            return Self::Malformed;
        }
        match std::str::from_utf8(value).ok().and_then(bearer_key) {
            Some(key) => Self::Key(KeyDigest::of(key)),
            None => Self::Malformed,
        }
    }
}

/// Returns the key of a header value, which is one token after the scheme.
fn bearer_key(value: &str) -> Option<&str> {
    let is_space = |character: char| matches!(character, ' ' | '\t');
    let (scheme, key) = value.trim_matches(is_space).split_once(is_space)?;
    let key = key.trim_matches(is_space);
    let is_token = !key.is_empty() && key.bytes().all(|byte| byte.is_ascii_graphic());
    (scheme.eq_ignore_ascii_case(SCHEME) && is_token && !key.contains(',')).then_some(key)
}

#[cfg(test)]
mod tests {
    use magnoliaspar_declaration::KeyDigest;

    use super::Credentials;

    fn read(values: &[&str]) -> Credentials {
        Credentials::read(values.iter().map(|value| value.as_bytes()))
    }

    /// Guards against callers that are refused although their header is valid HTTP.
    #[test]
    fn a_key_is_read_in_any_spelling() {
        let expected = Credentials::Key(KeyDigest::of("k1"));
        for value in ["Bearer k1", "bearer k1", "BEARER  k1", " Bearer\tk1 ", "bEARER \t k1\t"] {
            assert_eq!(read(&[value]), expected, "{value:?}");
        }
    }

    /// Guards against a key that is guessed from a header that names none or several.
    #[test]
    fn nothing_else_is_taken_for_a_key() {
        assert_eq!(read(&[]), Credentials::Missing);
        for values in [
            &["Bearer"][..],
            &["Bearer "],
            &["k1"],
            &["Basic k1"],
            &["Bearerk1"],
            &["Bearer k1 k2"],
            &["Bearer k1, Bearer k2"],
            &["Bearer k1,k2"],
            &["Bearer k1", "Bearer k1"],
            &["Bearer k\u{e9}"],
            &[""],
        ] {
            assert_eq!(read(values), Credentials::Malformed, "{values:?}");
        }
    }
}
