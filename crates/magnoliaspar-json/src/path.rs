//! JSON paths of values in a document.

/// The path of the root value of a document.
pub const ROOT: &str = "$";

/// Returns the path of the member `name` of the object at `parent`.
pub fn child_path(parent: &str, name: &str) -> Box<str> {
    if is_plain(name) {
        return format!("{parent}.{name}").into();
    }
    format!("{parent}[{name:?}]").into()
}

/// Returns the path of the element `index` of the array at `parent`.
pub fn element_path(parent: &str, index: usize) -> Box<str> {
    format!("{parent}[{index}]").into()
}

/// Returns `path` up to its last separator.
///
/// A quoted name may contain separators, so the result is the path of an enclosing value only if a
/// value with that path exists; otherwise it must be shortened again.
pub(crate) fn shorten(path: &str) -> Option<&str> {
    let end = path.rfind(['.', '['])?;
    Some(&path[..end])
}

fn is_plain(name: &str) -> bool {
    !name.is_empty() && name.chars().all(|c| c.is_ascii_alphanumeric() || matches!(c, '_' | '-'))
}

#[cfg(test)]
mod tests {
    use super::{child_path, element_path};

    #[test]
    fn unusual_names_are_quoted() {
        assert_eq!(&*child_path("$.routes", "assess"), "$.routes.assess");
        assert_eq!(&*child_path("$.routes", "v1.assess"), "$.routes[\"v1.assess\"]");
        assert_eq!(&*element_path("$.seeds", 2), "$.seeds[2]");
    }
}
