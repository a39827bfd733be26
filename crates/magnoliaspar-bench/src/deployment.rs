//! The two simulated deployments: engines, callers and latency targets.

use std::time::Duration;

use magnoliaspar_core::{ServerName, ZoneName};
use magnoliaspar_policy::{Role, ServerSpec, Weights};

/// The TTFT target: the time from acceptance to the first token.
pub const TTFT_TARGET: Duration = Duration::from_millis(970);

/// The ITL target: the time between two consecutive tokens.
pub const ITL_TARGET: Duration = Duration::from_millis(62);

/// The fraction of the gaps between the tokens of a request that must meet the ITL target.
pub const ITL_SHARE: f64 = 0.95;

/// A deployment: its engines, its callers and their workload.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// The name of the deployment.
    pub name: Box<str>,
    /// The availability zones. The deciding instance, which runs the policy, is in the first one.
    pub zones: Box<[ZoneName]>,
    /// The number of prefill engines.
    pub prefill_engines: u32,
    /// The number of decode engines.
    pub decode_engines: u32,
    /// The one-way network latency between two availability zones.
    pub zone_latency: Duration,
    /// The one-way network latency between a caller and an availability zone.
    pub caller_latency: Duration,
    /// The capacity and speed of each engine.
    pub engine: EngineSpec,
    /// The requests that callers send.
    pub workload: WorkloadSpec,
    /// The weights of the deployment's route for wasted prefill and goodput.
    pub weights: Weights,
}

/// The capacity and speed of an engine.
#[derive(Debug, Clone)]
pub struct EngineSpec {
    /// The maximum number of requests that a decode engine runs concurrently.
    pub decode_slots: u32,
    /// The maximum number of requests that a prefill engine runs and queues.
    pub prefill_slots: u32,
    /// The KV cache memory of an engine, in pieces (allocation units).
    pub memory_pieces: u32,
    /// The number of tokens that one piece of memory holds.
    pub piece_tokens: u32,
    /// The number of uncached tokens per second that a prefill engine computes.
    pub prefill_tokens_per_second: f64,
    /// The part of the prefill time that does not depend on the prompt length.
    pub prefill_overhead: Duration,
    /// The number of tokens of KV cache per second that a link transfers.
    pub link_tokens_per_second: f64,
    /// The part of the decode step time that does not depend on the batch.
    pub step_base: Duration,
    /// The part of the decode step time per request in the batch.
    pub step_per_request: Duration,
    /// The part of the decode step time per token of context in the batch, in seconds.
    pub step_seconds_per_token: f64,
    /// The time for which a prefill engine holds the KV cache of a finished prefill.
    pub hold: Duration,
}

/// The distribution of the requests that the callers of a deployment send.
#[derive(Debug, Clone)]
pub struct WorkloadSpec {
    /// The number of documents that prompts begin with.
    pub documents: u32,
    /// The exponent of the Zipf distribution of document popularity.
    pub popularity_exponent: f64,
    /// The minimum number of blocks in a document.
    pub min_document_blocks: u32,
    /// The maximum number of blocks in a document.
    pub max_document_blocks: u32,
    /// The minimum number of tokens in a question.
    pub min_question_tokens: u32,
    /// The maximum number of tokens in a question.
    pub max_question_tokens: u32,
    /// The minimum number of tokens in an answer.
    pub min_output_tokens: u32,
    /// The scale of the exponential distribution of the answer tokens above the minimum.
    pub output_scale_tokens: f64,
    /// The maximum number of tokens in an answer, which callers declare in the request.
    pub max_output_tokens: u32,
    /// The number of workspaces that send requests.
    pub workspaces: u32,
    /// The fraction of the requests that may wait.
    pub deferrable_share: f64,
    /// The deadline of interactive requests, measured from acceptance. It leaves time for the
    /// longest answer at the latency targets.
    pub interactive_deadline: Duration,
    /// The deadline of deferrable requests, measured from acceptance.
    pub deferrable_deadline: Duration,
}

impl Deployment {
    /// Returns both deployments.
    pub fn all() -> [Self; 2] {
        [Self::midlands(), Self::benang_merah()]
    }

    /// Returns the deployment with long documents and mostly deferrable requests.
    pub fn midlands() -> Self {
        Self {
            name: "midlands".into(),
            zones: zones(["mid-a", "mid-b", "mid-c", "mid-d"]),
            prefill_engines: 4,
            decode_engines: 10,
            zone_latency: Duration::from_micros(500),
            caller_latency: Duration::from_millis(3),
            engine: EngineSpec {
                piece_tokens: 128,
                prefill_tokens_per_second: 40_000.0,
                link_tokens_per_second: 150_000.0,
                step_seconds_per_token: 0.09e-6,
                ..EngineSpec::common()
            },
            workload: WorkloadSpec {
                min_document_blocks: 80,
                max_document_blocks: 240,
                min_question_tokens: 64,
                max_question_tokens: 256,
                min_output_tokens: 30,
                output_scale_tokens: 100.0,
                max_output_tokens: 400,
                workspaces: 12,
                deferrable_share: 0.8,
                ..WorkloadSpec::common()
            },
            weights: Weights { wasted_prefill: 0.7, goodput: 0.3 },
        }
    }

    /// Returns the deployment with short documents and interactive requests only.
    pub fn benang_merah() -> Self {
        Self {
            name: "benang-merah".into(),
            zones: zones(["jawa-barat", "jawa-tengah", "jawa-timur", "yogya"]),
            prefill_engines: 4,
            decode_engines: 8,
            zone_latency: Duration::from_micros(1_500),
            caller_latency: Duration::from_millis(1),
            engine: EngineSpec {
                piece_tokens: 64,
                prefill_tokens_per_second: 20_000.0,
                link_tokens_per_second: 75_000.0,
                step_seconds_per_token: 0.18e-6,
                ..EngineSpec::common()
            },
            workload: WorkloadSpec {
                min_document_blocks: 40,
                max_document_blocks: 120,
                min_question_tokens: 40,
                max_question_tokens: 160,
                min_output_tokens: 20,
                output_scale_tokens: 90.0,
                max_output_tokens: 320,
                workspaces: 24,
                deferrable_share: 0.0,
                ..WorkloadSpec::common()
            },
            weights: Weights { wasted_prefill: 0.3, goodput: 0.7 },
        }
    }

    /// Returns the specifications of all servers, prefill engines first.
    pub fn servers(&self) -> Vec<ServerSpec> {
        let mut servers = Vec::new();
        for index in 0..self.prefill_engines {
            servers.push(self.server(Role::Prefill, index));
        }
        for index in 0..self.decode_engines {
            servers.push(self.server(Role::Decode, index));
        }
        servers
    }

    fn server(&self, role: Role, index: u32) -> ServerSpec {
        let engine = &self.engine;
        let (kind, slots) = match role {
            Role::Prefill => ("prefill", engine.prefill_slots),
            Role::Decode => ("decode", engine.decode_slots),
        };
        let name = format!("{kind}-{index}");
        ServerSpec {
            name: ServerName::try_from(name.as_str()).expect("the name has only allowed letters"),
            zone: self.zones[index as usize % self.zones.len()].clone(),
            role,
            slots,
            memory_pieces: engine.memory_pieces,
            piece_tokens: engine.piece_tokens,
            prefill_tokens_per_second: engine.prefill_tokens_per_second,
            link_tokens_per_second: engine.link_tokens_per_second,
            seconds_per_token: self.full_batch_step_time().as_secs_f64(),
            hold_seconds: engine.hold.as_secs_f64(),
        }
    }

    /// Returns the duration of a decode step with all slots in use, each with the mean document
    /// as context.
    pub fn full_batch_step_time(&self) -> Duration {
        let blocks = (self.workload.min_document_blocks + self.workload.max_document_blocks) / 2;
        let context = u64::from(blocks * magnoliaspar_core::BLOCK_TOKENS);
        let slots = self.engine.decode_slots;
        self.engine.step_time(slots, context * u64::from(slots))
    }
}

impl EngineSpec {
    /// Returns the duration of a decode step.
    pub fn step_time(&self, batch: u32, context_tokens: u64) -> Duration {
        let context = Duration::from_secs_f64(self.step_seconds_per_token * context_tokens as f64);
        self.step_base + self.step_per_request * batch + context
    }

    /// Returns the duration of a prefill.
    pub fn prefill_time(&self, uncached_tokens: u32) -> Duration {
        let seconds = f64::from(uncached_tokens) / self.prefill_tokens_per_second;
        self.prefill_overhead + Duration::from_secs_f64(seconds)
    }

    /// Returns the number of pieces of memory that a request needs on a decode engine.
    pub fn pieces(&self, prompt_tokens: u32, max_output_tokens: u32) -> u32 {
        (prompt_tokens + max_output_tokens).div_ceil(self.piece_tokens)
    }

    /// Returns the number of blocks that a prefill engine can cache.
    pub fn cache_blocks(&self) -> u32 {
        self.memory_pieces * self.piece_tokens / magnoliaspar_core::BLOCK_TOKENS
    }

    /// Returns the values that the deployments share or override.
    fn common() -> Self {
        Self {
            decode_slots: 20,
            prefill_slots: 8,
            memory_pieces: 2_000,
            piece_tokens: 64,
            prefill_tokens_per_second: 20_000.0,
            prefill_overhead: Duration::from_millis(10),
            link_tokens_per_second: 75_000.0,
            step_base: Duration::from_millis(22),
            step_per_request: Duration::from_micros(800),
            step_seconds_per_token: 0.18e-6,
            hold: Duration::from_millis(800),
        }
    }
}

impl WorkloadSpec {
    /// Returns the mean number of tokens in an answer.
    pub fn mean_output_tokens(&self) -> f64 {
        let span = f64::from(self.max_output_tokens - self.min_output_tokens);
        let tail = 1.0 - (-span / self.output_scale_tokens).exp();
        f64::from(self.min_output_tokens) + self.output_scale_tokens * tail
    }

    /// Returns the values that the deployments share or override.
    fn common() -> Self {
        Self {
            documents: 300,
            popularity_exponent: 0.9,
            min_document_blocks: 40,
            max_document_blocks: 120,
            min_question_tokens: 40,
            max_question_tokens: 160,
            min_output_tokens: 20,
            output_scale_tokens: 90.0,
            max_output_tokens: 320,
            workspaces: 24,
            deferrable_share: 0.0,
            interactive_deadline: Duration::from_secs(30),
            deferrable_deadline: Duration::from_secs(90),
        }
    }
}

fn zones(names: [&str; 4]) -> Box<[ZoneName]> {
    names.map(|name| ZoneName::try_from(name).expect("the name has only allowed letters")).into()
}

#[cfg(test)]
mod tests {
    use super::{Deployment, ITL_TARGET, TTFT_TARGET};

    #[test]
    fn callers_wait_for_the_longest_answer_within_its_targets() {
        for deployment in Deployment::all() {
            let workload = &deployment.workload;
            let longest = TTFT_TARGET + ITL_TARGET * workload.max_output_tokens;
            assert!(longest <= workload.interactive_deadline);
            assert!(longest <= workload.deferrable_deadline);
            assert!(deployment.full_batch_step_time() <= ITL_TARGET);
        }
    }
}
