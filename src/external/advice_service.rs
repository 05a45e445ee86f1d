//! The service that knows which workers may run a step.

use std::time::Duration;

use async_trait::async_trait;

use crate::ids::InstanceId;
use crate::workflow::advice_cache::AdviceQuery;

/// Workers that may run a step, each with its ticket, and how long tickets are valid.
pub type AdviceAnswer = (Vec<(InstanceId, String)>, Duration);

/// Access to the advice service.
#[async_trait]
pub trait AdviceService: Send + Sync {
    /// Asks where a step may run; nothing when the service did not answer.
    async fn advise(&self, question: &AdviceQuery) -> Option<AdviceAnswer>;
}
