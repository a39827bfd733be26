use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Ranks candidates for a key by rendezvous hashing, the best first.
///
/// The ranking does not depend on the order of the candidates, so all instances that know the same
/// candidates agree on it. When a candidate leaves, only the keys for which it ranked first move.
/// When one joins, only the keys for which it now ranks first move to it. A candidate that is given
/// twice is ranked twice.
pub fn rank_by_rendezvous<'a>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Vec<&'a str> {
    let seed = xxh3_64(key.as_bytes());
    let mut ranked = Vec::new();
    for candidate in candidates {
        let score = xxh3_64_with_seed(candidate.as_bytes(), seed);
        ranked.push((score, candidate));
    }
    // Equal scores are ordered by name, so that the order does not depend on the input.
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, candidate)| candidate).collect()
}

#[cfg(test)]
mod tests {
    use super::rank_by_rendezvous;

    const KEYS: usize = 2_000;

    fn homes(candidates: &[Box<str>]) -> Vec<Box<str>> {
        let mut homes = Vec::new();
        for key in 0..KEYS {
            let names = candidates.iter().map(AsRef::as_ref);
            homes.push(rank_by_rendezvous(&format!("pool/{key}"), names)[0].into());
        }
        homes
    }

    fn instances(count: usize) -> Vec<Box<str>> {
        (0..count).map(|n| format!("entry-{n}").into()).collect()
    }

    #[test]
    fn order_of_candidates_does_not_matter() {
        let forward = rank_by_rendezvous("pool/3", ["a", "b", "c", "d"]);
        let backward = rank_by_rendezvous("pool/3", ["d", "c", "b", "a"]);
        assert_eq!(forward, backward);
        assert_eq!(forward.len(), 4);
        assert!(rank_by_rendezvous("pool/3", []).is_empty());
    }

    #[test]
    fn a_candidate_that_leaves_moves_only_its_own_keys() {
        let all = instances(9);
        let fewer: Vec<_> = all.iter().filter(|name| name.as_ref() != "entry-4").cloned().collect();
        for (before, after) in homes(&all).iter().zip(homes(&fewer)) {
            if before.as_ref() != "entry-4" {
                assert_eq!(*before, after);
            }
        }
    }

    #[test]
    fn a_candidate_that_leaves_is_followed_by_the_next_in_rank() {
        let all = ["a", "b", "c", "d"];
        for key in 0..100 {
            let key = format!("pool/{key}");
            let ranked = rank_by_rendezvous(&key, all);
            let left = rank_by_rendezvous(&key, all.into_iter().filter(|name| *name != ranked[0]));
            assert_eq!(left, ranked[1..]);
        }
    }

    #[test]
    fn a_candidate_that_joins_takes_only_its_share() {
        let before = homes(&instances(9));
        let after = homes(&instances(10));
        let mut moved = 0;
        for (before, after) in before.iter().zip(&after) {
            if before != after {
                assert_eq!(after.as_ref(), "entry-9");
                moved += 1;
            }
        }
        // About a tenth of the keys moves, within a third of that.
        assert!((KEYS / 15..=KEYS * 2 / 15).contains(&moved), "{moved}");
    }

    #[test]
    fn keys_spread_evenly() {
        let homes = homes(&instances(8));
        for name in instances(8) {
            let count = homes.iter().filter(|home| **home == name).count();
            assert!((KEYS / 12..=KEYS / 6).contains(&count), "{name}: {count}");
        }
    }
}
