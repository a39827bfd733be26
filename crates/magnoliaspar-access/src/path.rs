//! Paths that a server may read as other ones.

/// Returns whether a server that decodes and shortens paths may read `path` as one outside of its prefix: it has a
/// segment `..`, possibly encoded, behind a backslash, or with parameters.
pub fn has_parent_segment(path: &str) -> bool {
    let path = path.to_ascii_lowercase();
    let path = path.replace("%25", "%").replace("%2e", ".").replace("%2f", "/").replace("%5c", "/");
    let path = path.replace("%3b", ";").replace('\\', "/");
    for segment in path.split('/') {
        if segment.split(';').next() == Some("..") {
            return true;
        }
    }
    false
}

#[cfg(test)]
mod tests {
    use super::has_parent_segment;

    /// Guards against a request that needs no key by its text and runs as one that needs a key.
    #[test]
    fn each_spelling_of_a_parent_segment_is_recognized() {
        for path in [
            "/a/../b",
            "/a/..",
            "/a/%2e%2E/b",
            "/a/.%2e/b",
            "/a/..%2fb",
            "/a/x%2F..%5Cb",
            "/a/..\\b",
            "/a/..;x=1/b",
            "/a/..%3bx/b",
            "/a/%252e%252e/b",
        ] {
            assert!(has_parent_segment(path), "{path}");
        }
        for path in ["/a/b", "/a/b..c/d", "/a/.../b", "/a/..b", "/a/./b", "/a/%2e", "/a//b", "/"] {
            assert!(!has_parent_segment(path), "{path}");
        }
    }
}
