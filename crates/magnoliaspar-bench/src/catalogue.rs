//! The documents with which the prompts of a workload begin.

use magnoliaspar_core::{BLOCK_TOKENS, BlockHash};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::deployment::WorkloadSpec;

/// The documents that the callers of a deployment ask about repeatedly.
#[derive(Debug, Clone)]
pub(crate) struct Catalogue {
    /// The documents in order of decreasing popularity.
    pub(crate) documents: Box<[Document]>,
    /// A document of mean length that no cache contains before the measurement window.
    pub(crate) hot: Document,
}

/// The bits of a block hash that hold the index of the block within its document.
const BLOCK_INDEX_MASK: u64 = 0xffff;

/// A document that is the prefix of many prompts.
#[derive(Debug, Clone)]
pub(crate) struct Document {
    /// The chained hashes of the blocks.
    pub(crate) blocks: Box<[BlockHash]>,
    /// The fraction of the requests that ask about the document.
    pub(crate) share: f64,
}

impl Catalogue {
    /// Draws the documents of a workload.
    pub(crate) fn new(workload: &WorkloadSpec, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut total = 0.0;
        for rank in 1..=workload.documents {
            total += zipf_weight(rank, workload.popularity_exponent);
        }
        let mut documents = Vec::new();
        for rank in 1..=workload.documents {
            let blocks =
                rng.random_range(workload.min_document_blocks..=workload.max_document_blocks);
            let share = zipf_weight(rank, workload.popularity_exponent) / total;
            documents.push(Document::new(&mut rng, blocks, share));
        }
        let mean_blocks = (workload.min_document_blocks + workload.max_document_blocks) / 2;
        let hot = Document::new(&mut rng, mean_blocks, 0.0);
        Self { documents: documents.into(), hot }
    }

    /// Draws a document with a probability equal to its share of the requests.
    pub(crate) fn draw(&self, rng: &mut StdRng) -> &Document {
        let mut point: f64 = rng.random();
        for document in &self.documents {
            point -= document.share;
            if point < 0.0 {
                return document;
            }
        }
        &self.documents[self.documents.len() - 1]
    }

    /// Returns the mean number of document tokens in a prompt.
    pub(crate) fn mean_document_tokens(&self) -> f64 {
        let mut tokens = 0.0;
        for document in &self.documents {
            tokens += document.share * document.tokens();
        }
        tokens
    }

    /// Returns the mean number of document tokens per prompt that must be computed if the most
    /// popular documents that fit into `cache_blocks` blocks are always cached.
    pub(crate) fn mean_uncached_document_tokens(&self, cache_blocks: u32) -> f64 {
        let mut free_blocks = cache_blocks as usize;
        let mut tokens = 0.0;
        for document in &self.documents {
            if document.blocks.len() <= free_blocks {
                free_blocks -= document.blocks.len();
                continue;
            }
            tokens += document.share * document.tokens();
        }
        tokens
    }
}

impl Document {
    fn new(rng: &mut StdRng, blocks: u32, share: f64) -> Self {
        // Consecutive hashes keep the ordered maps of the simulated engines fast. Policies treat
        // hashes as opaque numbers.
        let first_hash = rng.random::<u64>() & !BLOCK_INDEX_MASK;
        let mut hashes = Vec::new();
        for block in 0..u64::from(blocks) {
            hashes.push(BlockHash(first_hash + block));
        }
        Self { blocks: hashes.into(), share }
    }

    /// Returns the length of the document in tokens.
    pub(crate) fn tokens(&self) -> f64 {
        self.blocks.len() as f64 * f64::from(BLOCK_TOKENS)
    }
}

/// Returns the unnormalized Zipf weight of a document. Ranks start at 1.
fn zipf_weight(rank: u32, exponent: f64) -> f64 {
    f64::from(rank).powf(-exponent)
}
