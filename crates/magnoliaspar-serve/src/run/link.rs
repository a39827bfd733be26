use async_trait::async_trait;
use displaydoc::Display;
use magnoliaspar_core::{InstanceName, Refusal};

use super::completion::CompletionRequest;
use super::running::{RunUpdate, Subscription};

/// An instance that can be the home of runs: this one or another.
#[async_trait(?Send)]
pub trait Home {
    /// Returns the name of the instance.
    fn name(&self) -> &InstanceName;

    /// Whether the instance runs in another availability zone.
    fn is_foreign(&self) -> bool;

    /// Opens a run, or attaches to it if it is there already.
    async fn open(&self, req: &CompletionRequest) -> Result<Box<dyn RunLink>, OpenError>;
}

/// A reader's link to a run on its home instance.
#[async_trait(?Send)]
pub trait RunLink {
    /// Whether the run was not there before.
    fn is_new(&self) -> bool;

    /// Returns the name of the home instance.
    fn home(&self) -> &InstanceName;

    /// Waits for what comes next.
    async fn next(&mut self) -> Result<RunUpdate, LinkBroken>;

    /// Frees everything that the run holds, since the caller is gone.
    fn cancel(&mut self);

    /// Notes that the caller has received the whole answer.
    fn set_delivered(&mut self);
}

/// Why a run cannot be opened.
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

/// The link to the home instance broke; the run may go on there.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display)]
#[displaydoc("the link to the home instance broke: {message}")]
pub struct LinkBroken {
    /// What broke it.
    pub message: Box<str>,
}

impl std::error::Error for LinkBroken {}

/// A link to a run of this instance.
pub struct LocalLink {
    /// The name of this instance.
    pub home: InstanceName,
    /// Reads the answer.
    pub subscription: Subscription,
    /// Whether the run was not there before.
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
