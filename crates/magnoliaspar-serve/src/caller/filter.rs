use async_trait::async_trait;
use magnoliaspar_core::Refusal;

use super::context::CallContext;

/// One check of a request, which may add to what is known of it.
#[async_trait(?Send)]
pub trait Filter {
    /// Checks the request, or refuses it.
    async fn apply(&self, cx: &mut CallContext) -> Result<(), Refusal>;
}

/// Filters that are applied in their order until one refuses.
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
