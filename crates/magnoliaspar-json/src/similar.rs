//! Suggestions for misspelled words.

/// Maximum edit distance of a suggestion.
const MAX_EDITS: usize = 2;

/// Returns the word with the smallest edit distance from `typed`, if it is similar enough.
pub fn closest<'a>(typed: &str, words: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let mut best = None;
    let mut best_edits = MAX_EDITS + 1;
    for word in words {
        let edits = edit_distance(typed, word);
        if edits >= best_edits || edits >= word.chars().count() {
            continue;
        }
        best_edits = edits;
        best = Some(word);
    }
    best
}

/// Returns the edit distance of two words in insertions, deletions, substitutions and
/// transpositions of adjacent characters.
fn edit_distance(a: &str, b: &str) -> usize {
    let a: Vec<char> = a.chars().collect();
    let b: Vec<char> = b.chars().collect();
    let mut previous = Vec::new();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for i in 0..a.len() {
        let mut next = vec![i + 1];
        for j in 0..b.len() {
            let substituted = row[j] + usize::from(a[i] != b[j]);
            let mut cost = substituted.min(row[j + 1] + 1).min(next[j] + 1);
            if i > 0 && j > 0 && a[i] == b[j - 1] && a[i - 1] == b[j] {
                let transposed: usize = previous[j - 1];
                cost = cost.min(transposed + 1);
            }
            next.push(cost);
        }
        previous = std::mem::replace(&mut row, next);
    }
    row[b.len()]
}

#[cfg(test)]
mod tests {
    use super::{closest, edit_distance};

    #[test]
    fn the_closest_word_is_found() {
        assert_eq!(closest("drian", ["drain", "undrain", "add"]), Some("drain"));
        assert_eq!(closest("shares", ["share", "concurrency"]), Some("share"));
        assert_eq!(closest("completely", ["share", "concurrency"]), None);
        assert_eq!(closest("x", ["y"]), None);
    }

    #[test]
    fn a_transposition_is_one_edit() {
        assert_eq!(edit_distance("ab", "ba"), 1);
        assert_eq!(edit_distance("", "abc"), 3);
        assert_eq!(edit_distance("kitten", "sitting"), 3);
    }
}
