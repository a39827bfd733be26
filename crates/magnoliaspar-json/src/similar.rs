/// The most edits by which a word may differ from the one that was probably meant.
const MAX_EDITS: usize = 2;

/// Returns the word of `words` that was probably meant by `typed`.
pub fn closest<'a>(typed: &str, words: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let mut best = None;
    let mut least = MAX_EDITS + 1;
    for word in words {
        let edits = edit_distance(typed, word);
        if edits >= least || edits >= word.chars().count() {
            continue;
        }
        least = edits;
        best = Some(word);
    }
    best
}

/// Counts the insertions, removals, replacements and swaps of neighbours between two words.
fn edit_distance(a: &str, b: &str) -> usize {
    let a: Vec<char> = a.chars().collect();
    let b: Vec<char> = b.chars().collect();
    let mut before = Vec::new();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for i in 0..a.len() {
        let mut next = vec![i + 1];
        for j in 0..b.len() {
            let replaced = row[j] + usize::from(a[i] != b[j]);
            let mut cost = replaced.min(row[j + 1] + 1).min(next[j] + 1);
            if i > 0 && j > 0 && a[i] == b[j - 1] && a[i - 1] == b[j] {
                let swapped: usize = before[j - 1];
                cost = cost.min(swapped + 1);
            }
            next.push(cost);
        }
        before = std::mem::replace(&mut row, next);
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
    fn a_swap_of_neighbours_is_one_edit() {
        assert_eq!(edit_distance("ab", "ba"), 1);
        assert_eq!(edit_distance("", "abc"), 3);
        assert_eq!(edit_distance("kitten", "sitting"), 3);
    }
}
