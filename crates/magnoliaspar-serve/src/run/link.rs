//! The interface between readers of answers and the home instances of runs.

use async_trait::async_trait;
use displaydoc::Display;
use magnoliaspar_core::{InstanceName, Refusal};

use super::completion::CompletionRequest;
use super::running::{RunUpdate, Subscription};

/// An instance that can be the home of runs, either this one or a peer.
#[async_trait(?Send)]
pub trait Home {
    /// Returns the name of the instance.
    fn name(&self) -> &InstanceName;

    /// Returns whether the instance runs in another availability zone.
    fn is_in_other_zone(&self) -> bool;

    /// Opens a run, or attaches to it if it already exists.
    async fn open(&self, req: &CompletionRequest) -> Result<Box<dyn RunLink>, OpenError>;
}

/// A link from a reader to a run on its home instance.
#[async_trait(?Send)]
pub trait RunLink {
    /// Returns whether opening the link created the run.
    fn is_new(&self) -> bool;

    /// Returns the name of the home instance.
    fn home(&self) -> &InstanceName;

    /// Waits for the next update.
    async fn next(&mut self) -> Result<RunUpdate, LinkBroken>;

    /// Cancels the run, which frees its resources.
    fn cancel(&mut self);

    /// Reports that the caller has received the whole answer.
    fn set_delivered(&mut self);
}

/// An error when opening a run.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
pub enum OpenError {
    /// {0}
    Refused(Refusal),
    /// the home instance cannot be reached: {0}
    Unreachable(Box<str>),
    /// the home instance was lost, and the request may run there: {0}
    Lost(Box<str>),
}

impl std::error::Error for OpenError {}

/// Error for a broken link to the home instance, on which the run may continue.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
#[displaydoc("the link to the home instance broke: {message}")]
pub struct LinkBroken {
    /// The cause.
    pub message: Box<str>,
}

impl std::error::Error for LinkBroken {}

/// A link to a run on this instance.
pub struct LocalLink {
    /// The name of this instance.
    pub home: InstanceName,
    /// The subscription to the answer.
    pub subscription: Subscription,
    /// True if opening the link created the run.
    pub is_new: bool,
}

#[async_trait(?Send)]
impl RunLink for LocalLink {
    fn is_new(&self) -> bool {
        self.is_new
    }

    fn home(&self) -> &InstanceName {
        &self.home
    }

    async fn next(&mut self) -> Result<RunUpdate, LinkBroken> {
        Ok(self.subscription.next().await)
    }

    fn cancel(&mut self) {
        if self.subscription.is_latest() {
            self.subscription.run().cancel();
        }
    }

    fn set_delivered(&mut self) {
        self.subscription.run().set_delivered();
    }
}
