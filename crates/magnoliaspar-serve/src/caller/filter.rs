//! The interface of the request filters and their chain.

use async_trait::async_trait;
use magnoliaspar_core::Refusal;

use super::context::CallContext;

/// A step that checks a request and may add its findings to the context.
#[async_trait(?Send)]
pub trait Filter {
    /// Checks the request; the error is its refusal.
    async fn apply(&self, cx: &mut CallContext) -> Result<(), Refusal>;
}

/// A list of filters, applied in order until one refuses the request.
pub struct FilterChain(Vec<Box<dyn Filter>>);

impl FilterChain {
    /// Creates a chain.
    pub fn new(filters: Vec<Box<dyn Filter>>) -> Self {
        Self(filters)
    }
}

#[async_trait(?Send)]
impl Filter for FilterChain {
    async fn apply(&self, cx: &mut CallContext) -> Result<(), Refusal> {
        for filter in &self.0 {
            filter.apply(cx).await?;
        }
        Ok(())
    }
}
