use magnoliaspar_core::{BLOCK_TOKENS, BlockHash};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::deployment::WorkloadSpec;

/// The documents that callers of a deployment ask about again and again.
#[derive(Debug, Clone)]
pub(crate) struct Catalogue {
    /// The documents, the most popular one first_hash.
    pub(crate) documents: Box<[Document]>,
    /// A document of mean length that nobody has read before.
    pub(crate) hot: Document,
}

/// The bits of a block's hash that number the block within its document.
const BLOCK_INDEX_MASK: u64 = 0xffff;

/// A document that many prompts begin with.
#[derive(Debug, Clone)]
pub(crate) struct Document {
    /// The chained hashes of the document's blocks.
    pub(crate) blocks: Box<[BlockHash]>,
    /// The share of requests that ask about the document.
    pub(crate) share: f64,
}

impl Catalogue {
    /// Creates the documents of a workload.
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

    /// Draws a document by popularity.
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

    /// Returns the mean number of document tokens that must be read if `cache_blocks` blocks of
    /// the most popular documents are always cached.
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
        // Neighbouring hashes keep the fakes' ordered maps fast; policies see opaque numbers.
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

fn zipf_weight(rank: u32, exponent: f64) -> f64 {
    f64::from(rank).powf(-exponent)
}
