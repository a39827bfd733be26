//! Draws the requests of a scenario from a seed.

use std::time::Duration;

use magnoliaspar_core::{BLOCK_TOKENS, BlockHash, WorkspaceName};
use magnoliaspar_policy::Urgency;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::catalogue::{Catalogue, Document};
use crate::deployment::{Deployment, WorkloadSpec};
use crate::limit::capacity;
use crate::scenario::{Scenario, Shape, WARM_UP, WARM_UP_LOAD, WINDOW};

/// A request as a caller sends it.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The time of acceptance, measured from the start of the run.
    pub at: Duration,
    /// The index of the workspace that sends the request.
    pub workspace: u32,
    /// The chained hashes of the full blocks of the prompt.
    pub blocks: Box<[BlockHash]>,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// The number of tokens in the answer, which is hidden from the policy.
    pub output_tokens: u32,
    /// The urgency, which tells the policy if the request may wait.
    pub urgency: Urgency,
    /// The time from acceptance to the deadline of the caller.
    pub deadline: Duration,
    /// The time from acceptance to the cancellation, if the caller cancels.
    pub cancel_after: Option<Duration>,
    /// True if the request arrives in the measurement window, after the warm-up.
    pub is_counted: bool,
}

impl Arrival {
    /// Returns the name of the workspace.
    pub fn workspace_name(&self) -> WorkspaceName {
        let name = format!("workspace-{}", self.workspace);
        WorkspaceName::try_from(name.as_str()).expect("the name has only allowed letters")
    }
}

/// The independent streams of random numbers, one for each purpose.
///
/// The discriminants are part of the seeds.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RngStream {
    Catalogue = 1,
    Arrival = 2,
    Prompt = 3,
    Output = 4,
    Caller = 5,
    CacheEvent = 6,
}

impl RngStream {
    /// Derives the seed of the stream from the seed of a run.
    pub(crate) fn seed(self, seed: u64) -> u64 {
        seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ self as u64
    }

    /// Returns the generator of the stream for the seed of a run.
    pub(crate) fn rng(self, seed: u64) -> StdRng {
        StdRng::seed_from_u64(self.seed(seed))
    }
}

/// Minimum time from acceptance to a cancellation.
const MIN_CANCEL_DELAY: Duration = Duration::from_millis(50);

/// Maximum time from acceptance to a cancellation.
const MAX_CANCEL_DELAY: Duration = Duration::from_secs(3);

/// Draws the requests of a scenario. The same seed gives the same requests.
pub fn arrivals(deployment: &Deployment, scenario: Scenario, seed: u64) -> Vec<Arrival> {
    let workload = &deployment.workload;
    let catalogue = Catalogue::new(workload, RngStream::Catalogue.seed(seed));
    let capacity = capacity(deployment, &catalogue);
    let shape = scenario.shape();
    let mut streams = RngStreams::new(seed);
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        let rate = capacity * load_at(&shape, at);
        at += Duration::from_secs_f64(exponential(&mut streams.arrival) / rate);
        if at >= WARM_UP + WINDOW {
            return arrivals;
        }
        arrivals.push(draw_arrival(workload, &catalogue, &shape, at, &mut streams));
    }
}

/// The random number generators of the drawn properties.
struct RngStreams {
    arrival: StdRng,
    prompt: StdRng,
    output: StdRng,
    caller: StdRng,
}

impl RngStreams {
    fn new(seed: u64) -> Self {
        Self {
            arrival: RngStream::Arrival.rng(seed),
            prompt: RngStream::Prompt.rng(seed),
            output: RngStream::Output.rng(seed),
            caller: RngStream::Caller.rng(seed),
        }
    }
}

fn draw_arrival(
    workload: &WorkloadSpec,
    catalogue: &Catalogue,
    shape: &Shape,
    at: Duration,
    streams: &mut RngStreams,
) -> Arrival {
    let is_hot = streams.prompt.random_bool(shape.hot_share) && at >= WARM_UP;
    let popular = catalogue.draw(&mut streams.prompt);
    let document = if is_hot { &catalogue.hot } else { popular };
    let (blocks, prompt_tokens) = draw_prompt(workload, document, &mut streams.prompt);
    let urgency = if streams.caller.random_bool(workload.deferrable_share) {
        Urgency::Deferrable
    } else {
        Urgency::Interactive
    };
    let cancels = streams.caller.random_bool(shape.cancel_share);
    let cancel_after = streams.caller.random_range(MIN_CANCEL_DELAY..MAX_CANCEL_DELAY);
    let is_greedy = streams.caller.random_bool(shape.greedy_share);
    let other_workspace = streams.caller.random_range(1..workload.workspaces);
    let any_workspace = streams.caller.random_range(0..workload.workspaces);
    let workspace = match (shape.greedy_share > 0.0, is_greedy) {
        (true, true) => 0,
        (true, false) => other_workspace,
        (false, _) => any_workspace,
    };
    let extra_tokens = exponential(&mut streams.output) * workload.output_scale_tokens;
    Arrival {
        at,
        workspace,
        blocks,
        prompt_tokens,
        output_tokens: (workload.min_output_tokens + extra_tokens as u32)
            .min(workload.max_output_tokens),
        urgency,
        deadline: match urgency {
            Urgency::Interactive => workload.interactive_deadline,
            Urgency::Deferrable => workload.deferrable_deadline,
        },
        cancel_after: cancels.then_some(cancel_after),
        is_counted: at >= WARM_UP,
    }
}

/// Draws a prompt: a document and a question with new blocks. Returns blocks and token count.
fn draw_prompt(
    workload: &WorkloadSpec,
    document: &Document,
    rng: &mut StdRng,
) -> (Box<[BlockHash]>, u32) {
    let question = rng.random_range(workload.min_question_tokens..=workload.max_question_tokens);
    let mut blocks = document.blocks.to_vec();
    let document_tokens = blocks.len() as u32 * BLOCK_TOKENS;
    for _ in 0..question / BLOCK_TOKENS {
        blocks.push(BlockHash(rng.random()));
    }
    (blocks.into(), document_tokens + question)
}

/// Returns the load relative to capacity. It rises linearly during the warm-up.
fn load_at(shape: &Shape, at: Duration) -> f64 {
    let progress = (at.as_secs_f64() / WARM_UP.as_secs_f64()).min(1.0);
    WARM_UP_LOAD + (shape.load - WARM_UP_LOAD) * progress
}

/// Draws from the exponential distribution with mean 1.
fn exponential(rng: &mut StdRng) -> f64 {
    let uniform: f64 = rng.random();
    -(1.0 - uniform).ln()
}

#[cfg(test)]
mod tests {
    use super::arrivals;
    use crate::deployment::Deployment;
    use crate::scenario::Scenario;

    #[test]
    fn the_same_seed_gives_the_same_requests() {
        let deployment = Deployment::midlands();
        let one = arrivals(&deployment, Scenario::Peak, 7);
        let other = arrivals(&deployment, Scenario::Peak, 7);
        let different = arrivals(&deployment, Scenario::Peak, 8);
        assert!(!one.is_empty());
        assert_eq!(format!("{one:?}"), format!("{other:?}"));
        assert_ne!(format!("{one:?}"), format!("{different:?}"));
    }
}
