//! Prediction of answer lengths.

/// The width of a histogram bucket as a share of the expected length.
const BUCKET_WIDTH: f64 = 1.0 / 16.0;

/// The number of buckets. The last one also counts all longer answers.
const BUCKETS: usize = 65;

/// The total weight at which the weights of all observations are halved.
const MAX_TOTAL_WEIGHT: f64 = 2_048.0;

/// The weight of the prior, by which answers have their expected length.
const PRIOR_WEIGHT: f64 = 8.0;

/// The share of running answers that should be no longer than predicted.
const QUANTILE: f64 = 0.7;

/// A histogram of answer lengths relative to their expected length, updated by finished jobs.
#[derive(Debug, Clone)]
pub(crate) struct OutputLengths {
    weights: [f64; BUCKETS],
    total_weight: f64,
}

impl OutputLengths {
    /// Creates a histogram with only the prior.
    pub(crate) fn new() -> Self {
        let mut lengths = Self { weights: [0.0; BUCKETS], total_weight: 0.0 };
        lengths.add(1.0, PRIOR_WEIGHT);
        lengths
    }

    /// Adds the length of a finished answer.
    pub(crate) fn observe(&mut self, expected_tokens: u32, produced_tokens: u32) {
        self.add(f64::from(produced_tokens) / f64::from(expected_tokens.max(1)), 1.0);
        if self.total_weight < MAX_TOTAL_WEIGHT {
            return;
        }
        for weight in &mut self.weights {
            *weight *= 0.5;
        }
        self.total_weight *= 0.5;
    }

    /// Predicts the total length in tokens of an answer that already has `produced_tokens`.
    ///
    /// The prediction errs on the long side, since reservations wait for the predicted end.
    pub(crate) fn predict(
        &self,
        expected_tokens: u32,
        produced_tokens: u32,
        max_tokens: u32,
    ) -> u32 {
        let expected_tokens = f64::from(expected_tokens.max(1));
        let first = bucket(f64::from(produced_tokens) / expected_tokens);
        let mut remaining_weight = 0.0;
        for weight in &self.weights[first..] {
            remaining_weight += weight;
        }
        let mut cumulative_weight = 0.0;
        let mut index_at_quantile = first;
        for (index, weight) in self.weights.iter().enumerate().skip(first) {
            index_at_quantile = index;
            cumulative_weight += weight;
            if cumulative_weight >= remaining_weight * QUANTILE {
                break;
            }
        }
        // Use the upper end of the bucket. If no answer of this length or longer was observed, use
        // the next bucket.
        let ratio = if remaining_weight > 0.0 { index_at_quantile + 1 } else { first + 2 };
        let total = (ratio as f64 * BUCKET_WIDTH * expected_tokens).ceil() as u32;
        total.max(produced_tokens.saturating_add(1)).min(max_tokens).max(produced_tokens)
    }

    fn add(&mut self, ratio: f64, weight: f64) {
        self.weights[bucket(ratio)] += weight;
        self.total_weight += weight;
    }
}

fn bucket(ratio: f64) -> usize {
    ((ratio / BUCKET_WIDTH) as usize).min(BUCKETS - 1)
}

#[cfg(test)]
mod tests {
    use super::OutputLengths;

    #[test]
    fn the_expected_length_is_predicted_without_observations() {
        let lengths = OutputLengths::new();
        let total = lengths.predict(160, 0, 1_000);
        assert!((160..=170).contains(&total), "{total}");
        assert_eq!(lengths.predict(160, 0, 100), 100);
    }

    #[test]
    fn longer_answers_raise_the_prediction() {
        let mut lengths = OutputLengths::new();
        for _ in 0..200 {
            lengths.observe(100, 200);
        }
        let total = lengths.predict(100, 0, 1_000);
        assert!((200..=210).contains(&total), "{total}");
    }

    #[test]
    fn an_answer_longer_than_all_others_is_predicted_to_end_soon() {
        let lengths = OutputLengths::new();
        let total = lengths.predict(160, 320, 1_000);
        assert!((321..=350).contains(&total), "{total}");
        assert_eq!(lengths.predict(160, 1_000, 1_000), 1_000);
        assert_eq!(lengths.predict(160, 1_100, 1_000), 1_100);
    }

    #[test]
    fn a_long_answer_is_predicted_from_longer_ones_only() {
        let mut lengths = OutputLengths::new();
        for _ in 0..500 {
            lengths.observe(100, 50);
            lengths.observe(100, 300);
        }
        assert!(lengths.predict(100, 60, 1_000) >= 300);
    }
}
